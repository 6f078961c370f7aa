/**
 * Gangs across owners: offers that lapse, offers that are cancelled, and
 * cancellations that also refuse a reservation that comes later.
 *
 * @module
 */
import { GangCell, type GangOptions, type GangRun } from "./model/gang_cell.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

const UNTIL_MS = 300_000;
const ARRIVALS_SEED_OFFSET = 1_000;

const ways = [
  { giveUp: "expiry", lapseMs: 1_000 },
  { giveUp: "expiry", lapseMs: 5_000 },
  { giveUp: "cancel", lapseMs: 1_000 },
  { giveUp: "cancel", lapseMs: 5_000 },
  { giveUp: "barrier", lapseMs: 1_000 },
  { giveUp: "barrier", lapseMs: 5_000 },
] as const;

const links = [
  { name: "good", late: 0, lost: 0 },
  { name: "late1", late: 0.01, lost: 0.001 },
  { name: "late5", late: 0.05, lost: 0.005 },
] as const;

/** Runs one way over one kind of links. */
export function run(options: GangOptions): GangRun {
  return new GangCell(options).run();
}

/** Compares the ways. */
export function benchGangs(results: Results, seed: number): void {
  for (const { name, late, lost } of links) {
    for (const { giveUp, lapseMs } of ways) {
      const random = new Random(seed);
      const arrivals = new Random(seed + ARRIVALS_SEED_OFFSET);
      const way = { giveUp, lapseMs, late, lost, random, arrivals };
      const cell = run({ ...way, untilMs: UNTIL_MS });
      print(results, `${name}_${giveUp}_${lapseMs}ms`, cell);
    }
  }
}

function print(results: Results, name: string, cell: GangRun): void {
  const placed = [...cell.placedMs].sort((a, b) => a - b);
  const attempts = placed.length === 0 ? 1 : placed.length;
  results.line(`${name}_stranded_slot_s`, cell.strandedSlotSeconds);
  results.line(`${name}_half_gangs`, cell.halfGangs);
  results.line(`${name}_messages_a_gang`, cell.messages / attempts);
  results.line(`${name}_arrived`, cell.arrived);
  results.line(`${name}_placed`, placed.length);
  results.line(`${name}_p50_ms`, quantile(placed, 0.5));
  results.line(`${name}_p99_ms`, quantile(placed, 0.99));
}

function quantile(sorted: readonly number[], part: number): number {
  return sorted[Math.floor((sorted.length - 1) * part)] ?? NaN;
}
