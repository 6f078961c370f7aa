/**
 * `account`: analyzes log files and reports which submissions were late,
 * rejected, failed or unfinished, and why.
 *
 * @module
 */
import { okAsync, type ResultAsync } from "neverthrow";
import {
  type AnalysisReport,
  type AnalyzedJob,
  countLossesBy,
  SubmissionAnalyzer,
} from "../../log_analysis/submission_analyzer.ts";
import type { ToolFailure } from "../failures.ts";
import { formatTable, type Report } from "../report.ts";
import { flag, option, type ToolCommand } from "../tool.ts";

/** Submissions that `--jobs` lists unless `--most` is given. */
const DEFAULT_MAX_JOBS = 20;

/** Reports on all submissions in the log files of instances, by outcome, queue and second. */
export const accountCommand: ToolCommand = {
  name: "account",
  arguments: "<file...>",
  summary: "analyze log files: which submissions were late or lost, and why",
  example: "zinniapoint account edge-1.log edge-2.log",
  options: [
    { flags: "--jobs", help: "list the submissions with the longest delays" },
    {
      flags: "--most <number>",
      help: "maximum number of submissions that --jobs lists",
    },
  ],
  run(tool, input) {
    const analyzer = new SubmissionAnalyzer();
    const reading = input.arguments.reduce<ResultAsync<void, ToolFailure>>(
      (previous, file) =>
        previous.andThen(() => {
          let number = 0;
          return tool.host.readLines(
            file,
            (line) => analyzer.add(line, `${file}:${++number}`),
          );
        }),
      okAsync(undefined),
    );
    const maxJobs = Number(option(input, "most") ?? DEFAULT_MAX_JOBS);
    return reading.map(() =>
      reportOf(analyzer.report(), { list: flag(input, "jobs"), maxJobs })
    );
  },
};

function reportOf(
  { jobs, ...counts }: AnalysisReport,
  { list, maxJobs }: { readonly list: boolean; readonly maxJobs: number },
): Report {
  const total = countLossesBy(jobs, () => "all");
  const tables = {
    outcomes: countLossesBy(jobs, ({ outcome }) => outcome),
    queues: [
      ...countLossesBy(jobs, ({ queue }) => queue || "unknown"),
      ...total,
    ],
    seconds: countLossesBy(jobs, ({ second }) => String(second)),
  };
  const listed = list ? mostDelayed(jobs, maxJobs) : [];
  const text = [
    `lines: ${counts.lines}`,
    `unreadable: ${counts.unreadable}${formatLocations(counts.unreadableAt)}`,
    ...Object.entries(tables).map(([name, rows]) =>
      `${name}:\n${formatTable(rows)}`
    ),
    ...(list ? [`jobs:\n${formatTable(listed)}`] : []),
  ];
  return {
    json: { ...counts, ...tables, ...(list ? { jobs: listed } : {}) },
    text: text.join("\n"),
  };
}

function mostDelayed(
  jobs: readonly AnalyzedJob[],
  maxJobs: number,
): Readonly<Record<string, unknown>>[] {
  return jobs.filter(({ cause }) => cause !== undefined)
    .toSorted((a, b) => b.lostMs - a.lostMs)
    .slice(0, maxJobs)
    .map((job) => ({ ...job, lostMs: Math.round(job.lostMs) }));
}

function formatLocations(locations: readonly string[]): string {
  return locations.length === 0 ? "" : ` (${locations.join(", ")})`;
}
