/**
 * Measures the cost of membership, ownership and limits: store calls, messages
 * and bytes per node, by the number of instances, workers and teams.
 *
 * @module
 */
import {
  type ClusterNode,
  MemoryCluster,
} from "../src/fakes/memory_cluster.ts";
import { decodeMap, encodeMap } from "../src/state/ownership_codec.ts";
import {
  assign,
  emptyMap,
  excessUnits,
  handOver,
  type OwnershipMap,
} from "../src/state/ownership_map.ts";
import type { Instance } from "../src/types.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

const WORKERS_PER_RACK = 8;
const MEASUREMENT_MS = 60_000;
const STEP_MS = 20;
/** Starts of work per second and instance. */
const STARTS_PER_SECOND = 50;
const WORK_MS = 200;
/** Limit of the team in the limit use benchmark: runs at a time. */
const LIMIT = 100;
/** Part of the starts that belong to one team at one instance. */
const BUSY_FRACTION = 0.5;
const NODE_BYTES_TARGET = 5_000;
const VALUE_TARGET_BYTES = 1_000_000;

interface ClusterSize {
  readonly instances: number;
  readonly workers: number;
  readonly teams: number;
}

/** Runs the benchmark. */
export async function benchControl(
  results: Results,
  seed: number,
): Promise<void> {
  for (const instances of [4, 8, 16]) {
    const shape = { instances, workers: 30, teams: 12 };
    await measureSteadyState(results, {
      label: `instances_${instances}`,
      shape,
      seed,
    });
  }
  for (const teams of [12, 60, 170]) {
    const shape = { instances: 8, workers: 30, teams };
    await measureSteadyState(results, { label: `teams_${teams}`, shape, seed });
  }
  await measureLimitUse(results, { label: "one", requesters: 1, seed });
  await measureLimitUse(results, { label: "all", requesters: 8, seed });
  for (const workers of [30, 300, 3_000, 19_000]) {
    measureMapCost(results, workers);
  }
}

interface SteadyStateOptions {
  readonly label: string;
  readonly shape: ClusterSize;
  readonly seed: number;
}

/** Measures a cluster without faults, first idle and then under load, for a minute each. */
async function measureSteadyState(
  results: Results,
  measure: SteadyStateOptions,
): Promise<void> {
  const { label, shape, seed } = measure;
  const random = new Random(seed);
  const teams = names("t", shape.teams);
  const cluster = new MemoryCluster({
    units: [
      ...names("worker:w", shape.workers),
      ...teams.map((team) => `team:${team}`),
    ],
    limits: new Map(teams.map((team) => [team, 100])),
    seed,
  });
  cluster.network.latencyMs = 1.5;
  cluster.start(...names("", shape.instances));
  await cluster.run(15_000, STEP_MS);
  await measureCosts(results, {
    cluster,
    label: `${label}_idle`,
    load: () => {},
  });
  const load = () => startWork(cluster, { random, teams });
  await measureCosts(results, { cluster, label: `${label}_busy`, load });
}

interface CostOptions {
  readonly cluster: MemoryCluster;
  readonly label: string;
  readonly load: () => void;
}

async function measureCosts(results: Results, run: CostOptions): Promise<void> {
  const { cluster, label, load } = run;
  const { service, network } = cluster;
  const before = {
    calls: service.calls,
    bytes: service.bytes + network.bytes,
    messages: network.messages,
  };
  const began = process.cpuUsage();
  for (let left = MEASUREMENT_MS; left > 0; left -= STEP_MS) {
    load();
    await cluster.run(STEP_MS, STEP_MS);
  }
  const { user } = process.cpuUsage(began);
  const seconds = MEASUREMENT_MS / 1_000;
  const nodes = cluster.nodes.size;
  const bytes = service.bytes + network.bytes - before.bytes;
  const messages = network.messages - before.messages;
  results.line(
    `${label}_store_calls_a_second`,
    (service.calls - before.calls) / seconds,
  );
  results.line(`${label}_store_watches`, 2 * nodes);
  results.line(`${label}_messages_a_node_second`, messages / nodes / seconds);
  results.atMost(
    `${label}_bytes_a_node_second`,
    bytes / nodes / seconds,
    NODE_BYTES_TARGET,
  );
  results.line(`${label}_core_percent_a_node`, user / 10_000 / nodes / seconds);
}

/** Starts work: half of it for one team at one instance, the rest for random teams at random instances. */
function startWork(
  cluster: MemoryCluster,
  from: { readonly random: Random; readonly teams: readonly string[] },
): void {
  const nodes = [...cluster.nodes.values()];
  const starts = nodes.length * STARTS_PER_SECOND * STEP_MS / 1_000;
  for (let at = 0; at < starts; at++) {
    const busy = from.random.uniform() < BUSY_FRACTION;
    const node = busy ? nodes[0]! : from.random.pick(nodes);
    const team = busy ? from.teams[0]! : from.random.pick(from.teams);
    node.limits.acquire(team, 1_000).map(() =>
      cluster.clock.after(WORK_MS, () => node.limits.release(team))
    );
  }
}

/** Measures the use of one limit while `requesters` of eight instances always request more than the limit. */
async function measureLimitUse(
  results: Results,
  of: {
    readonly label: string;
    readonly requesters: number;
    readonly seed: number;
  },
): Promise<void> {
  const cluster = new MemoryCluster({
    units: ["team:t"],
    limits: new Map([["t", LIMIT]]),
    seed: of.seed,
  });
  cluster.network.latencyMs = 1.5;
  cluster.start(...names("", 8));
  await cluster.run(15_000, STEP_MS);
  let running = 0;
  let starts = 0;
  const work = (node: ClusterNode): void => {
    node.limits.acquire("t", MEASUREMENT_MS).map(() => {
      running++;
      starts++;
      cluster.clock.after(WORK_MS, () => {
        running--;
        node.limits.release("t");
        work(node);
      });
    });
  };
  for (const node of [...cluster.nodes.values()].slice(-of.requesters)) {
    for (let at = 0; at < 2 * LIMIT / of.requesters; at++) work(node);
  }
  await cluster.run(2_000, 1);
  const messages = cluster.network.messages;
  starts = 0;
  let used = 0;
  let maxRunning = 0;
  const samples = 10_000;
  for (let at = 0; at < samples; at++) {
    await cluster.run(1, 1);
    used += running;
    maxRunning = Math.max(maxRunning, running);
  }
  results.atLeast(
    `limit_use_asked_by_${of.label}`,
    used / samples / LIMIT,
    0.97,
  );
  results.atMost(`limit_use_asked_by_${of.label}_most`, maxRunning, LIMIT);
  results.line(
    `limit_use_asked_by_${of.label}_messages_a_start`,
    (cluster.network.messages - messages) / starts,
  );
}

/** Measures the size of the ownership map and the time of its functions, with a unit per worker or per rack. */
function measureMapCost(results: Results, workers: number): void {
  const byWorker = names("worker:w", workers);
  const byRack = names("rack:r", Math.ceil(workers / WORKERS_PER_RACK));
  for (
    const [kind, units] of [["worker", byWorker], ["rack", byRack]] as const
  ) {
    const label = `map_${workers}_by_${kind}`;
    const map = createChurnedMap([
      ...units,
      ...names("team:t", 170),
      ...names("home:", 64),
    ]);
    const text = encodeMap(map);
    results.atMost(`${label}_bytes`, text.length, VALUE_TARGET_BYTES);
    results.line(`${label}_encode_ms`, meanDurationMs(() => encodeMap(map)));
    results.line(`${label}_decode_ms`, meanDurationMs(() => decodeMap(text)));
    results.line(
      `${label}_excess_ms`,
      meanDurationMs(() => excessUnits(map, "i3")),
    );
  }
}

/** Creates an ownership map whose 16 members have joined one after another. */
function createChurnedMap(units: readonly string[]): OwnershipMap {
  const registered = new Map<string, Instance>();
  let map = emptyMap;
  for (let at = 0; at < 16; at++) {
    const id = `i${at}`;
    const zone = `zone-${at % 3}`;
    const peerAddress = `10.20.30.${at}:7400`;
    const callerAddress = `10.20.30.${at}:8400`;
    registered.set(id, { id, peerAddress, callerAddress, zone });
    map = assign(map, {
      registered,
      lost: new Set(),
      gone: new Set(),
      votersKnowJoining: true,
      units,
    });
    for (const self of registered.keys()) {
      map = handOver(map, { self, leaving: false, retired: [] });
    }
  }
  return map;
}

function meanDurationMs(action: () => unknown): number {
  const repeats = 20;
  const began = performance.now();
  for (let at = 0; at < repeats; at++) action();
  return (performance.now() - began) / repeats;
}

function names(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}${at}`);
}
