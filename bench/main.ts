/**
 * Runs one benchmark: `npm run -s bench -- NAME --seed N`. Prints key=value
 * lines; `missed` lists the targets that were not met.
 *
 * @module
 */
import { Command } from "commander";
import { benchCell } from "./cell.ts";
import { benchControl } from "./control.ts";
import { benchDecisions } from "./decisions.ts";
import { benchFaults } from "./faults.ts";
import { benchGangs } from "./gangs.ts";
import { benchIdle } from "./idle.ts";
import { benchJournal } from "./journal.ts";
import { benchPacking } from "./packing.ts";
import { benchRecovery } from "./recovery.ts";
import { benchReplay } from "./replay.ts";
import { Results } from "./results.ts";
import { benchRequests } from "./requests.ts";
import { benchRoles } from "./roles.ts";
import { benchShares } from "./shares.ts";
import { benchWaiting } from "./waiting.ts";

/** A benchmark, which prints its figures. All random numbers depend on the seed. */
export type Benchmark = (
  results: Results,
  seed: number,
) => void | Promise<void>;

const benchmarks: Readonly<Record<string, Benchmark>> = {
  cell: benchCell,
  control: benchControl,
  decisions: benchDecisions,
  faults: benchFaults,
  gangs: benchGangs,
  idle: benchIdle,
  journal: benchJournal,
  packing: benchPacking,
  recovery: benchRecovery,
  replay: benchReplay,
  requests: benchRequests,
  roles: benchRoles,
  shares: benchShares,
  waiting: benchWaiting,
};

async function main(): Promise<void> {
  const command = new Command("bench")
    .argument("<name>", `one of ${Object.keys(benchmarks).join(", ")}`)
    .option("--seed <number>", "seed of all random numbers", Number, 1)
    .parse();
  const [name] = command.args;
  const bench = benchmarks[name ?? ""];
  if (bench === undefined) {
    return command.error(`error=unknownBench name=${name}`);
  }
  const { seed } = command.opts<{ seed: number }>();
  const results = new Results();
  results.line("bench", name!);
  results.line("seed", seed);
  await bench(results, seed);
  results.end();
}

await main();
