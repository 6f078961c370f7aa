/**
 * `account`: says from logs which submissions were late, refused or failed, and
 * why.
 *
 * @module
 */
import { okAsync, type ResultAsync } from "neverthrow";
import {
  Account,
  type AccountedJob,
  type AccountReport,
  lossesBy,
} from "../../account/account.ts";
import type { ToolFailure } from "../failures.ts";
import { formatTable, type Report } from "../report.ts";
import { flag, option, type ToolCommand } from "../tool.ts";

/** Rows of the list of submissions unless something else is said. */
const DEFAULT_MOST = 20;

/** Accounts for the submissions in logs of instances. */
export const accountCommand: ToolCommand = {
  name: "account",
  arguments: "<file...>",
  summary: "tell from logs which submissions were late or lost, and why",
  example: "zinniapoint account edge-1.log edge-2.log",
  options: [
    { flags: "--jobs", help: "list the submissions that lost most" },
    { flags: "--most <number>", help: "rows of that list" },
  ],
  run(tool, input) {
    const account = new Account();
    const read = input.arguments.reduce<ResultAsync<void, ToolFailure>>(
      (before, file) =>
        before.andThen(() => {
          let number = 0;
          return tool.host.readLines(
            file,
            (line) => account.take(line, `${file}:${++number}`),
          );
        }),
      okAsync(undefined),
    );
    const most = Number(option(input, "most") ?? DEFAULT_MOST);
    return read.map(() =>
      reportOf(account.report(), { list: flag(input, "jobs"), most })
    );
  },
};

function reportOf(
  { jobs, ...counts }: AccountReport,
  { list, most }: { readonly list: boolean; readonly most: number },
): Report {
  const all = lossesBy(jobs, () => "all");
  const tables = {
    outcomes: lossesBy(jobs, ({ outcome }) => outcome),
    queues: [...lossesBy(jobs, ({ queue }) => queue || "unknown"), ...all],
    seconds: lossesBy(jobs, ({ second }) => String(second)),
  };
  const worst = list ? worstOf(jobs, most) : [];
  const text = [
    `lines: ${counts.lines}`,
    `unreadable: ${counts.unreadable}${named(counts.unreadableAt)}`,
    ...Object.entries(tables).map(([name, rows]) =>
      `${name}:\n${formatTable(rows)}`
    ),
    ...(list ? [`jobs:\n${formatTable(worst)}`] : []),
  ];
  return {
    json: { ...counts, ...tables, ...(list ? { jobs: worst } : {}) },
    text: text.join("\n"),
  };
}

function worstOf(
  jobs: readonly AccountedJob[],
  most: number,
): Readonly<Record<string, unknown>>[] {
  return jobs.filter(({ cause }) => cause !== undefined)
    .toSorted((a, b) => b.lostMs - a.lostMs)
    .slice(0, most)
    .map((job) => ({ ...job, lostMs: Math.round(job.lostMs) }));
}

function named(places: readonly string[]): string {
  return places.length === 0 ? "" : ` (${places.join(", ")})`;
}
