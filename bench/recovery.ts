/**
 * Measures the time until units and allowances of a killed instance are in use
 * again, and the effects of a store outage.
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
/** One-way latency between availability zones, milliseconds. */
const LATENCY_MS = 1.5;
/** Latency of a store call, milliseconds. */
const STORE_LATENCY_MS = 5;
const STEP_MS = 20;
const SETTLE_MS = 10_000;
const TIMEOUT_MS = 60_000;
const RECOVERY_TARGET_MS = 10_000;
const OUTAGE_MS = 3_600_000;
const OUTAGE_STEP_MS = 200;

/** Runs the benchmark. */
export async function benchRecovery(
  results: Results,
  seed: number,
): Promise<void> {
  const random = new Random(seed);
  const units: number[] = [];
  const limits: number[] = [];
  for (let kill = 0; kill < KILLS; kill++) {
    const times = await measureKill(random);
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
  await measureOutage(results, random);
}

async function startCluster(random: Random): Promise<MemoryCluster> {
  const cluster = new MemoryCluster({
    units: [
      ...names("worker:w", WORKERS),
      ...names("team:t", TEAMS),
    ],
    limits: new Map(names("t", TEAMS).map((team) => [team, LIMIT])),
    seed: random.integerBelow(2 ** 31),
  });
  cluster.network.latencyMs = LATENCY_MS;
  cluster.start(...names("", INSTANCES));
  for (const node of cluster.nodes.values()) {
    node.store.faults.latencyMs = STORE_LATENCY_MS;
  }
  await advance(cluster, SETTLE_MS + random.integerBelow(2_000));
  return cluster;
}

/** Advances the clock; the running work of units under survey is counted at once. */
async function advance(
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

/** Kills an instance that holds the whole allowance of one team while another one requests it. */
async function measureKill(
  random: Random,
): Promise<{ readonly unitsMs: number; readonly limitMs: number }> {
  const cluster = await startCluster(random);
  const [victim, successor] = [...cluster.nodes.values()].slice(
    random.integerBelow(7),
  );
  for (let at = 0; at < LIMIT; at++) victim!.limits.acquire("t3", TIMEOUT_MS);
  await advance(cluster, 2_000 + random.integerBelow(1_500));
  cluster.crash(victim!.instance.id);
  let acquired = 0;
  for (let at = 0; at < LIMIT; at++) {
    successor!.limits.acquire("t3", TIMEOUT_MS).map(() => acquired++);
  }
  const began = cluster.clock.monotonic();
  let unitsMs = TIMEOUT_MS;
  let limitMs = TIMEOUT_MS;
  while (limitMs === TIMEOUT_MS || unitsMs === TIMEOUT_MS) {
    await advance(cluster, STEP_MS);
    const elapsedMs = cluster.clock.monotonic() - began;
    if (elapsedMs >= TIMEOUT_MS) break;
    if (cluster.unserved().length === 0) unitsMs = Math.min(unitsMs, elapsedMs);
    if (acquired === LIMIT) limitMs = Math.min(limitMs, elapsedMs);
  }
  return { unitsMs, limitMs };
}

/** Counts samples of units without a deciding instance during and after a store outage, and the peak of store calls after it. */
async function measureOutage(results: Results, random: Random): Promise<void> {
  const cluster = await startCluster(random);
  const before = cluster.node("0").ownership.map().epoch;
  cluster.cutStore();
  let unservedSamples = 0;
  for (let left = OUTAGE_MS; left > 0; left -= OUTAGE_STEP_MS) {
    await cluster.run(OUTAGE_STEP_MS, OUTAGE_STEP_MS / 2);
    unservedSamples += cluster.unserved().length;
  }
  cluster.healStore();
  let maxCalls = 0;
  for (let second = 0; second < 20; second++) {
    const { calls } = cluster.service;
    await cluster.run(1_000, STEP_MS);
    maxCalls = Math.max(maxCalls, cluster.service.calls - calls);
    unservedSamples += cluster.unserved().length;
  }
  results.atMost(
    "outage_hour_unit_samples_without_decider",
    unservedSamples,
    0,
  );
  results.line(
    "outage_hour_map_changes",
    cluster.node("0").ownership.map().epoch - before,
  );
  results.line("store_back_calls_in_worst_second", maxCalls);
  results.atMost("most_deciders", cluster.maxDeciders, 1);
}

function names(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}${at}`);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)]!;
}
