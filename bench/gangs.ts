/**
 * Compares policies for abandoned reservations of gangs across owners: offers
 * that expire, offers that are cancelled, and cancellations after which the
 * owner also rejects late requests for the reservation.
 *
 * @module
 */
import {
  type GangOptions,
  type GangResult,
  GangSimulation,
} from "./model/gang_simulation.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

const UNTIL_MS = 300_000;
const ARRIVALS_SEED_OFFSET = 1_000;

const policies = [
  { abandonPolicy: "expiry", offerTtlMs: 1_000 },
  { abandonPolicy: "expiry", offerTtlMs: 5_000 },
  { abandonPolicy: "cancel", offerTtlMs: 1_000 },
  { abandonPolicy: "cancel", offerTtlMs: 5_000 },
  { abandonPolicy: "barrier", offerTtlMs: 1_000 },
  { abandonPolicy: "barrier", offerTtlMs: 5_000 },
] as const;

const links = [
  { name: "good", delayedShare: 0, lostShare: 0 },
  { name: "late1", delayedShare: 0.01, lostShare: 0.001 },
  { name: "late5", delayedShare: 0.05, lostShare: 0.005 },
] as const;

/** Simulates one policy over one kind of links. */
export function simulate(options: GangOptions): GangResult {
  return new GangSimulation(options).run();
}

/** Compares the policies over all kinds of links. */
export function benchGangs(results: Results, seed: number): void {
  for (const { name, delayedShare, lostShare } of links) {
    for (const { abandonPolicy, offerTtlMs } of policies) {
      const random = new Random(seed);
      const arrivals = new Random(seed + ARRIVALS_SEED_OFFSET);
      const options = {
        abandonPolicy,
        offerTtlMs,
        delayedShare,
        lostShare,
        random,
        arrivals,
      };
      const result = simulate({ ...options, untilMs: UNTIL_MS });
      print(results, `${name}_${abandonPolicy}_${offerTtlMs}ms`, result);
    }
  }
}

function print(results: Results, name: string, result: GangResult): void {
  const placed = [...result.placedMs].sort((a, b) => a - b);
  const attempts = placed.length === 0 ? 1 : placed.length;
  results.line(`${name}_stranded_slot_s`, result.strandedSlotSeconds);
  results.line(`${name}_half_gangs`, result.halfGangs);
  results.line(`${name}_messages_a_gang`, result.messages / attempts);
  results.line(`${name}_arrived`, result.arrived);
  results.line(`${name}_placed`, placed.length);
  results.line(`${name}_p50_ms`, quantile(placed, 0.5));
  results.line(`${name}_p99_ms`, quantile(placed, 0.99));
}

function quantile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.floor((sorted.length - 1) * fraction)] ?? NaN;
}
