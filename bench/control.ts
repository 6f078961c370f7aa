/**
 * What membership, ownership and limits cost: store calls and bytes a node
 * against instances, workers and teams.
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

const RACK_SIZE = 8;
const MEASURED_MS = 60_000;
const STEP_MS = 20;
/** Starts of work a second and instance. */
const STARTS_A_SECOND = 50;
const WORK_MS = 200;
/** Of the one team whose limit is in use all the time. */
const LIMIT = 100;
/** Part of the starts that are of one team at one instance. */
const BUSY_PART = 0.5;
const NODE_BYTES_TARGET = 5_000;
const VALUE_TARGET_BYTES = 1_000_000;

interface Shape {
  readonly instances: number;
  readonly workers: number;
  readonly teams: number;
}

/** Fills in the figures. */
export async function benchControl(
  results: Results,
  seed: number,
): Promise<void> {
  for (const instances of [4, 8, 16]) {
    const shape = { instances, workers: 30, teams: 12 };
    await steady(results, { label: `instances_${instances}`, shape, seed });
  }
  for (const teams of [12, 60, 170]) {
    const shape = { instances: 8, workers: 30, teams };
    await steady(results, { label: `teams_${teams}`, shape, seed });
  }
  await limitUse(results, { label: "one", askers: 1, seed });
  await limitUse(results, { label: "all", askers: 8, seed });
  for (const workers of [30, 300, 3_000, 19_000]) mapCost(results, workers);
}

interface Measure {
  readonly label: string;
  readonly shape: Shape;
  readonly seed: number;
}

/** A minute without faults, idle and then with load. */
async function steady(results: Results, measure: Measure): Promise<void> {
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
  await count(results, { cluster, label: `${label}_idle`, load: () => {} });
  const load = () => startWork(cluster, { random, teams });
  await count(results, { cluster, label: `${label}_busy`, load });
}

interface Count {
  readonly cluster: MemoryCluster;
  readonly label: string;
  readonly load: () => void;
}

async function count(results: Results, run: Count): Promise<void> {
  const { cluster, label, load } = run;
  const { service, network } = cluster;
  const before = {
    calls: service.calls,
    bytes: service.bytes + network.bytes,
    messages: network.messages,
  };
  const began = process.cpuUsage();
  for (let left = MEASURED_MS; left > 0; left -= STEP_MS) {
    load();
    await cluster.run(STEP_MS, STEP_MS);
  }
  const { user } = process.cpuUsage(began);
  const seconds = MEASURED_MS / 1_000;
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

/** Half of the starts are of one team at one instance, the rest of any team anywhere. */
function startWork(
  cluster: MemoryCluster,
  from: { readonly random: Random; readonly teams: readonly string[] },
): void {
  const nodes = [...cluster.nodes.values()];
  const starts = nodes.length * STARTS_A_SECOND * STEP_MS / 1_000;
  for (let at = 0; at < starts; at++) {
    const busy = from.random.unit() < BUSY_PART;
    const node = busy ? nodes[0]! : from.random.pick(nodes);
    const team = busy ? from.teams[0]! : from.random.pick(from.teams);
    node.limits.acquire(team, 1_000).map(() =>
      cluster.clock.after(WORK_MS, () => node.limits.release(team))
    );
  }
}

/** Use of one limit while `askers` of eight instances always want more than it. */
async function limitUse(
  results: Results,
  of: {
    readonly label: string;
    readonly askers: number;
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
    node.limits.acquire("t", MEASURED_MS).map(() => {
      running++;
      starts++;
      cluster.clock.after(WORK_MS, () => {
        running--;
        node.limits.release("t");
        work(node);
      });
    });
  };
  for (const node of [...cluster.nodes.values()].slice(-of.askers)) {
    for (let at = 0; at < 2 * LIMIT / of.askers; at++) work(node);
  }
  await cluster.run(2_000, 1);
  const messages = cluster.network.messages;
  starts = 0;
  let used = 0;
  let most = 0;
  const samples = 10_000;
  for (let at = 0; at < samples; at++) {
    await cluster.run(1, 1);
    used += running;
    most = Math.max(most, running);
  }
  results.atLeast(
    `limit_use_asked_by_${of.label}`,
    used / samples / LIMIT,
    0.97,
  );
  results.atMost(`limit_use_asked_by_${of.label}_most`, most, LIMIT);
  results.line(
    `limit_use_asked_by_${of.label}_messages_a_start`,
    (cluster.network.messages - messages) / starts,
  );
}

/** Size of the map and the time of its functions, by worker and by rack. */
function mapCost(results: Results, workers: number): void {
  const byWorker = names("worker:w", workers);
  const byRack = names("rack:r", Math.ceil(workers / RACK_SIZE));
  for (
    const [kind, units] of [["worker", byWorker], ["rack", byRack]] as const
  ) {
    const label = `map_${workers}_by_${kind}`;
    const map = churned([
      ...units,
      ...names("team:t", 170),
      ...names("home:", 64),
    ]);
    const text = encodeMap(map);
    results.atMost(`${label}_bytes`, text.length, VALUE_TARGET_BYTES);
    results.line(`${label}_encode_ms`, timed(() => encodeMap(map)));
    results.line(`${label}_decode_ms`, timed(() => decodeMap(text)));
    results.line(`${label}_excess_ms`, timed(() => excessUnits(map, "i3")));
  }
}

/** A map that has seen its members come one after another. */
function churned(units: readonly string[]): OwnershipMap {
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

function timed(action: () => unknown): number {
  const repeats = 20;
  const began = performance.now();
  for (let at = 0; at < repeats; at++) action();
  return (performance.now() - began) / repeats;
}

function names(prefix: string, count: number): readonly string[] {
  return Array.from({ length: count }, (_, at) => `${prefix}${at}`);
}
