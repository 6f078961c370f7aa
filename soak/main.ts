/**
 * `npm run -s soak -- --seeds 50 --first 1 --seconds 15`: executes seeded soak runs
 * and prints one line for each. Logs of a run with findings are written to a directory.
 *
 * @module
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { Command } from "commander";
import { soak, type SoakOptions, type SoakResult } from "./soak.ts";

const program = new Command("soak")
  .option("--seeds <number>", "runs", "1")
  .option("--first <number>", "first seed", String(Date.now() % 1_000_000))
  .option("--seconds <number>", "duration of the faults", "15")
  .option("--daemons <number>", "processes", "4")
  .option("--workers <number>", "workers", "8")
  .option("--left <number>", "processes that are left at the end")
  .option("--no-advice", "submit to the queue without advice only")
  .option(
    "--keep <folder>",
    "directory for logs of runs with findings",
    "soak-findings",
  )
  .parse(process.argv);

// The daemons of the current run end with this process.
for (const signal of ["SIGINT", "SIGTERM"]) {
  process.once(signal, () => process.exit(1));
}

const given = program.opts<Record<string, string> & { advice: boolean }>();
const first = Number(given.first);
let broken = 0;
for (let seed = first; seed < first + Number(given.seeds); seed++) {
  const result = await soakOrFail({
    seed,
    lengthMs: 1000 * Number(given.seconds),
    daemons: Number(given.daemons),
    workers: Number(given.workers),
    advice: given.advice,
    ...(given.left === undefined ? {} : { left: Number(given.left) }),
  });
  if (result === undefined) {
    broken++;
    continue;
  }
  const { jobs, accepted, runs, faults, findings, starvedMs } = result;
  console.log(
    `seed=${seed} jobs=${jobs} accepted=${accepted} runs=${runs} ` +
      `faults=${faults.length} starvedMs=${starvedMs} ` +
      `findings=${findings.length}`,
  );
  if (findings.length === 0) continue;
  broken++;
  for (const { promise, about } of findings.slice(0, 10)) {
    console.log(`  ${promise}: ${about}`);
  }
  const folder = given.keep ?? "soak-findings";
  mkdirSync(folder, { recursive: true });
  const text = [
    ...findings.map((finding) => JSON.stringify(finding)),
    ...faults,
    ...result.logs.toSorted(),
  ].join("\n");
  writeFileSync(join(folder, `${seed}.log`), text);
}
console.log(`seeds=${given.seeds} broken=${broken}`);
process.exit(broken > 0 ? 1 : 0);

/** Executes one run; prints the error and returns `undefined` if the site does not start. */
async function soakOrFail(
  options: SoakOptions,
): Promise<SoakResult | undefined> {
  try {
    return await soak(options);
  } catch (error) {
    console.log(`seed=${options.seed} failed: ${String(error).slice(0, 500)}`);
    return undefined;
  }
}
