/**
 * Measures the memory, processor time and bytes that each role of an instance
 * costs per object that it keeps: the slopes in docs/CAPACITY.md.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import * as t from "io-ts";
import { decodeJson } from "../src/adapters/decoding.ts";
import { ReportResponse } from "../src/adapters/agent_messages.ts";
import { systemClock } from "../src/clock.ts";
import { newWork } from "../src/journal/work_state.ts";
import { WorkTable } from "../src/journal/work_table.ts";
import { silentLog } from "../src/logger.ts";
import { parseOperatorSet } from "../src/operator_set/parse.ts";
import { TcpPeers } from "../src/peers/tcp_peers.ts";
import { WaitingQueue } from "../src/policy/waiting_queue.ts";
import type { RpcMethod } from "../src/ports/peers.ts";
import { KEY_LIMITS, KeyTable } from "../src/state/key_table.ts";
import type { Instance, Resources } from "../src/types.ts";
import { LoadReport, loadReportNotice } from "../src/wire/dispatch.ts";
import { generateNeed, generatePool } from "./generated_fleet.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

const MICROS_PER_MS = 1_000;
const BODY_BYTES = 400;
const PEERS_KEY = "bench-peers-key-0123456789";
const CONCURRENT_CALLS = 64;
const WARM_UP_CALLS = 20_000;

/** Runs the benchmark. */
export async function benchRoles(
  results: Results,
  seed: number,
): Promise<void> {
  setFlagsFromString("--expose-gc");
  const random = new Random(seed);
  for (const workers of [1_000, 5_000, 19_000]) {
    const bytes = retainedBytes(() =>
      generatePool(random, { workers, slots: 64 })
    );
    results.line(`owner_workers${workers}_bytes_a_worker`, bytes / workers);
  }
  for (const tasks of [8, 16, 32, 64]) measureReport(results, tasks);
  for (const waiting of [1_000, 10_000, 50_000]) {
    const bytes = retainedBytes(() =>
      createQueue(random, { waiting, teams: 170 })
    );
    results.line(`holder_waiting${waiting}_bytes_an_item`, bytes / waiting);
  }
  for (const teams of [12, 60, 170]) {
    measureLoadReport(results, { random, teams });
  }
  for (const keys of [1_000, 5_000, 10_000]) {
    measureIdempotencyKeys(results, keys);
  }
  for (const works of [1_000, 10_000, 50_000]) {
    const bytes = retainedBytes(() => createTable(works));
    results.line(`journal_works${works}_bytes_a_work`, bytes / works);
  }
  for (const teams of [12, 60, 170, 1_000]) measureOperatorSet(results, teams);
  await cpuMicrosPerCall(WARM_UP_CALLS);
  for (const calls of [10_000, 20_000, 40_000]) {
    results.line(
      `links_calls${calls}_us_a_call`,
      await cpuMicrosPerCall(calls),
    );
  }
}

/** Heap size of the result of `make`, bytes. */
function retainedBytes(make: () => unknown): number {
  const collect = runInNewContext("gc") as () => void;
  make();
  collect();
  const before = process.memoryUsage().heapUsed;
  const result = [make()];
  collect();
  const bytes = process.memoryUsage().heapUsed - before;
  return result.length > 0 ? bytes : 0;
}

/** Mean duration of an action, microseconds, over a period of 300 ms. */
function meanMicros(action: () => unknown): number {
  const began = performance.now();
  let runs = 0;
  for (; performance.now() - began < 300; runs++) action();
  return (performance.now() - began) * MICROS_PER_MS / runs;
}

function measureReport(results: Results, tasks: number): void {
  const used = createNeed(1_000);
  const text = JSON.stringify({
    ageMs: 200,
    leaving: false,
    requests: 4,
    tasks: Array.from({ length: tasks }, (_, index) => ({
      attempt: `3f0c2b8e-0c0e-4d55-9a35-${String(index).padStart(12, "0")}`,
      task: `instance-1-0a1b2c3d.${index}/0`,
      team: "team-17",
      workload: "page-count-billing",
      state: { type: "running" },
      declared: used,
      used,
    })),
  });
  const name = `owner_report_tasks${tasks}`;
  results.line(`${name}_bytes`, text.length);
  results.line(
    `${name}_us`,
    meanMicros(() => decodeJson(ReportResponse, text)),
  );
}

function measureLoadReport(
  results: Results,
  { random, teams }: { readonly random: Random; readonly teams: number },
): void {
  const queue = createQueue(random, { waiting: teams * 10, teams });
  const names = Array.from({ length: teams }, (_, at) => `team-${at}`);
  const usage = Object.fromEntries(
    names.map((team) => [team, createNeed(4_000)]),
  );
  const spare = Object.fromEntries(names.map((team) => [team, 10]));
  const make = () => ({
    sequence: 1,
    free: createNeed(0),
    spare,
    largest: createNeed(0),
    capacity: createNeed(64_000),
    backlog: queue.summary(0).map((entry) => ({
      ...entry,
      dueInMs: entry.dueInMs,
    })),
    usage,
  });
  const encode = () =>
    JSON.stringify({
      jsonrpc: "2.0",
      method: loadReportNotice.method,
      params: LoadReport.encode(make()),
    });
  const text = encode();
  const name = `holder_news_teams${teams}`;
  results.line(`${name}_bytes`, text.length);
  results.line(`${name}_send_us`, meanMicros(encode));
  results.line(`${name}_receive_us`, meanMicros(() => decodeLoadReport(text)));
}

function decodeLoadReport(text: string): unknown {
  return decodeJson(t.type({ params: LoadReport }), text);
}

function createQueue(
  random: Random,
  size: { readonly waiting: number; readonly teams: number },
): WaitingQueue {
  const queue = new WaitingQueue(() => ({
    maxWaiting: Infinity,
    maxWaitingPerTeam: Infinity,
  }));
  for (let at = 0; at < size.waiting; at++) {
    queue.push({
      id: `instance-1-0a1b2c3d.${at}/0/0`,
      team: `team-${at % size.teams}`,
      queue: "queue",
      workload: "page-count-billing",
      urgency: "deferred",
      need: generateNeed(random),
      arrivedAtMs: at,
      dueAtMs: at + 60_000,
    });
  }
  return queue;
}

function measureIdempotencyKeys(results: Results, keys: number): void {
  const origin = { completeSince: 0, forgottenUpTo: 0, rows: [] };
  const use = (at: number) => ({
    team: "team-17",
    key: `0192f0c1-7a3b-7c00-8000-${String(at).padStart(12, "0")}`,
    request: `3f0c2b8e-0c0e-4d55-9a35-${String(at).padStart(12, "0")}`,
    entry: "instance-1-0a1b2c3d",
    deadline: 10_000,
  });
  let micros = 0;
  const bytes = retainedBytes(() => {
    const memory = new KeyTable(KEY_LIMITS, origin);
    const began = performance.now();
    for (let at = 0; at < keys; at++) {
      memory.begin(use(at), 10_000_000);
      memory.finish(use(at), completedOutcome, 10_000_000);
    }
    micros = (performance.now() - began) * MICROS_PER_MS;
    return memory;
  });
  results.line(`key_home_keys${keys}_bytes_a_key`, bytes / keys);
  results.line(`key_home_keys${keys}_us_a_key`, micros / keys);
}

const completedOutcome = {
  type: "done",
  answer: { status: 200, headers: {}, body: "b2s=", worker: "worker-1" },
} as const;

function createTable(works: number): WorkTable {
  const table = new WorkTable();
  for (let sequence = 1; sequence <= works; sequence++) {
    const record = {
      type: "submitted",
      work: sequence,
      team: "team-17",
      workload: "page-count-billing",
      payload: `${sequence}`.padEnd(BODY_BYTES, "x"),
      at: 1_000,
      count: 1,
    } as const;
    table.apply(1, record as Parameters<typeof newWork>[0]);
  }
  return table;
}

/** Measures an operator set with a queue and two workloads per team. */
function measureOperatorSet(results: Results, teams: number): void {
  const text = Array.from({ length: teams }, (_, at) => teamSections(at)).join(
    "",
  );
  const file = "set.ini";
  const parse = () => parseOperatorSet(text, { file })._unsafeUnwrap();
  const name = `configuration_teams${teams}`;
  results.line(`${name}_bytes`, text.length);
  results.line(`${name}_parse_ms`, meanMicros(parse) / MICROS_PER_MS);
  results.line(`${name}_heap_bytes`, retainedBytes(parse));
}

function teamSections(at: number): string {
  const name = `team-${at}`;
  return `[team ${name}]
account = ${name}

[share ${name}]
team = ${name}
weight = 1

[limit ${name}]
team = ${name}
running = 1000

[queue ${name}]
urgency = deferred
teams = ${name}

[workload ${name}-a]
kind = batch
queue = ${name}
cpu = 1
memory = 1GiB
timeout = 10m

[workload ${name}-b]
kind = batch
queue = ${name}
cpu = 2
memory = 2GiB
timeout = 10m

`;
}

const echo: RpcMethod<{ body: string }, { body: string }> = {
  method: "bench.echo",
  params: t.type({ body: t.string }),
  result: t.type({ body: t.string }),
};

/** Processor time of a call between two instances over loopback, microseconds, caller and server together. */
async function cpuMicrosPerCall(calls: number): Promise<number> {
  const [a, b] = [createInstance("a", 7_461), createInstance("b", 7_462)];
  const from = createPeers(a);
  const to = createPeers(b);
  to.serve(echo, (params) => params);
  await Promise.all([from.start(), to.start()]);
  from.setMembers([a, b]);
  while (!from.connected("b")) await new Promise((done) => setTimeout(done, 5));
  const body = "x".repeat(BODY_BYTES);
  const began = process.cpuUsage();
  const sendCalls = async () => {
    for (let at = 0; at < calls / CONCURRENT_CALLS; at++) {
      await from.call("b", echo, { params: { body }, timeoutMs: 5_000 });
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CALLS }, sendCalls));
  const { user, system } = process.cpuUsage(began);
  from.close();
  to.close();
  return (user + system) / calls;
}

function createInstance(id: string, port: number): Instance {
  const address = `127.0.0.1:${port}`;
  return { id, peerAddress: address, callerAddress: address, zone: "zone-1" };
}

function createPeers(self: Instance): TcpPeers {
  return new TcpPeers({
    self,
    listen: self.peerAddress,
    key: PEERS_KEY,
    clock: systemClock,
    log: silentLog,
  });
}

function createNeed(cpuMillis: number): Resources {
  return { cpuMillis, memoryMib: 1_024, accelerators: 0, slots: 1 };
}
