/**
 * How soon the units and allowances of a killed instance are in use again, and
 * what an outage of the store costs.
 *
 * @module
 */
import { MemoryCluster } from "../src/fakes/memory_cluster.ts";
import type { Results } from "./results.ts";
import { Random } from "./random.ts";

const INSTANCES = 8;
const WORKERS = 30;
const TEAMS = 12;
const LIMIT = 60;
const KILLS = 30;
/** One way between availability zones, milliseconds. */
const LATENCY_MS = 1.5;
/** A call to the store, milliseconds. */
const STORE_LATENCY_MS = 5;
const STEP_MS = 20;
const SETTLED_MS = 10_000;
const GIVE_UP_MS = 60_000;
const RECOVERY_TARGET_MS = 10_000;
const OUTAGE_MS = 3_600_000;
const OUTAGE_STEP_MS = 200;

/** Fills in the figures. */
export async function benchRecovery(
  results: Results,
  seed: number,
): Promise<void> {
  const random = new Random(seed);
  const units: number[] = [];
  const limits: number[] = [];
  for (let kill = 0; kill < KILLS; kill++) {
    const times = await killOne(random);
    units.push(times.unitsMs);
    limits.push(times.limitMs);
  }
  results.line("kills", KILLS);
  results.line("units_owned_again_ms_median", median(units));
  results.atMost(
    "units_owned_again_ms_max",
    Math.max(...units),
    RECOVERY_TARGET_MS,
  );
  results.line("limit_whole_again_ms_median", median(limits));
  results.atMost(
    "limit_whole_again_ms_max",
    Math.max(...limits),
    RECOVERY_TARGET_MS,
  );
  await outage(results, random);
}

async function start(random: Random): Promise<MemoryCluster> {
  const cluster = new MemoryCluster({
    units: [
      ...names("worker:w", WORKERS),
      ...names("team:t", TEAMS),
    ],
    limits: new Map(names("t", TEAMS).map((team) => [team, LIMIT])),
    seed: random.below(2 ** 31),
  });
  cluster.network.latencyMs = LATENCY_MS;
  cluster.start(...names("", INSTANCES));
  for (const node of cluster.nodes.values()) {
    node.store.faults.latencyMs = STORE_LATENCY_MS;
  }
  await run(cluster, SETTLED_MS + random.below(2_000));
  return cluster;
}

/** Lets time pass; workers report and are counted at once. */
async function run(
  cluster: MemoryCluster,
  milliseconds: number,
): Promise<void> {
  for (let left = milliseconds; left > 0; left -= STEP_MS) {
    await cluster.run(Math.min(left, STEP_MS), STEP_MS);
    for (const { limits } of cluster.nodes.values()) {
      for (const unit of limits.unaccountedUnits()) limits.markAccounted(unit);
    }
  }
}

/** The killed instance holds the whole of one team's limit; another one wants it. */
async function killOne(
  random: Random,
): Promise<{ readonly unitsMs: number; readonly limitMs: number }> {
  const cluster = await start(random);
  const [victim, heir] = [...cluster.nodes.values()].slice(random.below(7));
  for (let at = 0; at < LIMIT; at++) victim!.limits.acquire("t3", GIVE_UP_MS);
  await run(cluster, 2_000 + random.below(1_500));
  cluster.crash(victim!.instance.id);
  let taken = 0;
  for (let at = 0; at < LIMIT; at++) {
    heir!.limits.acquire("t3", GIVE_UP_MS).map(() => taken++);
  }
  const began = cluster.clock.monotonic();
  let unitsMs = GIVE_UP_MS;
  let limitMs = GIVE_UP_MS;
  while (limitMs === GIVE_UP_MS || unitsMs === GIVE_UP_MS) {
    await run(cluster, STEP_MS);
    const elapsedMs = cluster.clock.monotonic() - began;
    if (elapsedMs >= GIVE_UP_MS) break;
    if (cluster.unserved().length === 0) unitsMs = Math.min(unitsMs, elapsedMs);
    if (taken === LIMIT) limitMs = Math.min(limitMs, elapsedMs);
  }
  return { unitsMs, limitMs };
}

/** Samples of units for which nobody could decide because of the outage, and the rush after it. */
async function outage(results: Results, random: Random): Promise<void> {
  const cluster = await start(random);
  const before = cluster.node("0").ownership.map().epoch;
  cluster.cutStore();
  let refused = 0;
  for (let left = OUTAGE_MS; left > 0; left -= OUTAGE_STEP_MS) {
    await cluster.run(OUTAGE_STEP_MS, OUTAGE_STEP_MS / 2);
    refused += cluster.unserved().length;
  }
  cluster.healStore();
  let most = 0;
  for (let second = 0; second < 20; second++) {
    const { calls } = cluster.service;
    await cluster.run(1_000, STEP_MS);
    most = Math.max(most, cluster.service.calls - calls);
    refused += cluster.unserved().length;
  }
  results.atMost("outage_hour_unit_samples_without_decider", refused, 0);
  results.line(
    "outage_hour_map_changes",
    cluster.node("0").ownership.map().epoch - before,
  );
  results.line("store_back_calls_in_worst_second", most);
  results.atMost("most_deciders", cluster.maxDeciders, 1);
}

function names(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}${at}`);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}
