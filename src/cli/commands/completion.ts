/**
 * `completion`: prints a completion script for bash.
 *
 * @module
 */
import { okAsync } from "neverthrow";
import type { ToolCommand } from "../tool.ts";

/** Creates the command. `names`: the names of all other commands. */
export function completionCommand(names: readonly string[]): ToolCommand {
  return {
    name: "completion",
    summary: "print a completion script for bash",
    example: "source <(zinniapoint completion)",
    run() {
      const script = bashScript(names);
      return okAsync({ json: { script }, text: script });
    },
  };
}

function bashScript(names: readonly string[]): string {
  const groups = new Map<string, string[]>();
  for (const name of names) {
    const [first = "", second] = name.split(" ");
    const rest = groups.get(first) ?? [];
    groups.set(first, second === undefined ? rest : [...rest, second]);
  }
  const cases = [...groups]
    .filter(([, rest]) => rest.length > 0)
    .map(([group, rest]) => `    ${group}) words="${rest.join(" ")}" ;;`);
  return [
    "_zinniapoint() {",
    '  local words=""',
    `  if [ "$COMP_CWORD" -eq 1 ]; then words="${
      [...groups.keys()].join(" ")
    }"`,
    '  elif [ "$COMP_CWORD" -eq 2 ]; then case "${COMP_WORDS[1]}" in',
    ...cases,
    "  esac; fi",
    '  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))',
    "}",
    "complete -o default -F _zinniapoint zinniapoint",
  ].join("\n");
}
