import {expect} from 'chai';
import {KeyError} from '../../src/lib/core/errors.js';
import {
  composeKey,
  mintSession,
  readSessionKey,
} from '../../src/lib/wire/session_key.js';

const SECRET = 'a secret of the tests';
const TOKEN = {
  ownerAddress: '127.0.0.1:7401',
  ownerIncarnation: 'AbC',
  serial: 12,
  team: 'dance',
};

describe('Session keys', () => {
  it('are parsed to the token and the name they were made of', () => {
    const key = composeKey(mintSession(TOKEN, SECRET), 'booking-17');
    expect(readSessionKey(key, SECRET)).to.deep.equal({
      token: TOKEN,
      name: 'booking-17',
    });
  });

  const session = mintSession(TOKEN, SECRET);
  const forged = mintSession({...TOKEN, ownerAddress: 'evil:1'}, 'a guess');
  const invalidKeys: Array<[string, string]> = [
    ['a plain key', 'booking-17'],
    ['a session signed with another secret', `${forged}.a`],
    ['a changed payload', `x${session}.a`],
    ['an empty name', `${session}.`],
    ['a name with a slash', `${session}.a/b`],
    ['an overlong name', `${session}.${'a'.repeat(65)}`],
  ];
  for (const [text, key] of invalidKeys) {
    it(`refuse ${text}`, () => {
      expect(() => readSessionKey(key, SECRET)).to.throw(KeyError);
    });
  }
});
