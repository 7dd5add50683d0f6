/** Opens the stream of an agent to an entry over gRPC. */
import {credentials} from '@grpc/grpc-js';
import type {ClientOptions} from '@grpc/grpc-js';
import type {
  LinkStream,
  LinkStreamListener,
  OpenLinkStream,
} from '../agent/entry_link.js';
import {AgentLinkClient} from './generated/foxtailbay.js';
import type {EntryFrame} from './generated/foxtailbay.js';
import {decodeEntryFrame, encodeAgentFrame} from './link_codec.js';

/** Largest message in bytes that either side sends or accepts. */
export const MAX_FRAME_BYTES = 64 * 1024 * 1024;

const KEEPALIVE_PERIOD_MS = 2000;

/**
 * Options of every gRPC channel: no retries, no lookup of service configuration in
 * DNS and no proxy.
 */
export const CHANNEL_OPTIONS: ClientOptions = {
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.max_receive_message_length': MAX_FRAME_BYTES,
  'grpc.max_send_message_length': MAX_FRAME_BYTES,
  // An unresponsive or unreachable peer is detected within two periods.
  'grpc.keepalive_time_ms': KEEPALIVE_PERIOD_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_PERIOD_MS,
  // Connections are not shared, so closing the channel closes the connection.
  'grpc.use_local_subchannel_pool': 1,
};

/** Opens a stream on its own connection; closing it closes the connection. */
export const openLinkStream: OpenLinkStream = (
  address: string,
  listener: LinkStreamListener,
): LinkStream => {
  const client = new AgentLinkClient(
    address,
    credentials.createInsecure(),
    CHANNEL_OPTIONS,
  );
  const call = client.connect();
  let isDone = false;
  const finish = (detail: string) => {
    if (isDone) return;
    isDone = true;
    client.close();
    listener.fail(detail);
  };
  call.on('data', (frame: EntryFrame) => {
    if (!isDone) listener.receive(decodeEntryFrame(frame));
  });
  call.on('error', failure => finish(failure.message));
  call.on('end', () => finish('The entry closed the stream.'));
  return {
    send: frame => {
      if (!isDone) call.write(encodeAgentFrame(frame));
    },
    close: () => {
      if (isDone) return;
      isDone = true;
      call.cancel();
      client.close();
    },
  };
};
