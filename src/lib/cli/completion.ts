/** Generates shell completion scripts from the registered commands. */
import type {Command} from 'commander';

/** Shells for which completion scripts can be generated. */
export enum Shell {
  BASH = 'bash',
  ZSH = 'zsh',
  FISH = 'fish',
}

/** One command with the words that complete it. */
export interface CommandCompletion {
  /** Names of the command and its parents; empty for the program itself. */
  readonly path: readonly string[];
  readonly words: readonly string[];
}

type FormatScript = (
  program: string,
  completions: readonly CommandCompletion[],
) => string;

const FORMAT_BY_SHELL: Readonly<Record<Shell, FormatScript>> = {
  [Shell.BASH]: formatBash,
  [Shell.ZSH]: formatZsh,
  [Shell.FISH]: formatFish,
};

/** Formats the completion script of a program for a shell. */
export function formatCompletion(program: Command, shell: Shell): string {
  return FORMAT_BY_SHELL[shell](program.name(), listCompletions(program, []));
}

/** Lists a command and, recursively, its subcommands, each with its options. */
export function listCompletions(
  command: Command,
  path: readonly string[],
): CommandCompletion[] {
  const names = command.commands.map(child => child.name());
  const options = command.options.map(option => option.long ?? option.flags);
  return [
    {path, words: [...names, ...options, '--help']},
    ...command.commands.flatMap(child =>
      listCompletions(child, [...path, child.name()]),
    ),
  ];
}

function formatBash(
  program: string,
  completions: readonly CommandCompletion[],
): string {
  const cases = completions.map(
    ({path, words}) => `    "${path.join(' ')}") words="${words.join(' ')}" ;;`,
  );
  const name = `_${program}_complete`;
  return [
    `${name}() {`,
    '  local path="" words="" word',
    '  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do',
    '    [[ $word == -* ]] && continue',
    '    path="${path:+$path }$word"',
    '  done',
    '  case "$path" in',
    ...cases,
    '  esac',
    '  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))',
    '  [[ ${#COMPREPLY[@]} -eq 0 ]] && COMPREPLY=($(compgen -f -- "${COMP_WORDS[COMP_CWORD]}"))',
    '}',
    `complete -F ${name} ${program}`,
  ].join('\n');
}

function formatZsh(
  program: string,
  completions: readonly CommandCompletion[],
): string {
  return [
    'autoload -U +X bashcompinit && bashcompinit',
    formatBash(program, completions),
  ].join('\n');
}

function formatFish(
  program: string,
  completions: readonly CommandCompletion[],
): string {
  return completions
    .map(({path, words}) => {
      const condition =
        path.length === 0
          ? '__fish_use_subcommand'
          : path
              .map(name => `__fish_seen_subcommand_from ${name}`)
              .join('; and ');
      return `complete -c ${program} -n '${condition}' -a '${words.join(' ')}'`;
    })
    .join('\n');
}
