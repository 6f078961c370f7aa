/**
 * Time of one decision, from the choice among what waits to the room taken,
 * on a full fleet of today's size and of the size to come.
 *
 * @module
 */
import { performance } from "node:perf_hooks";
import { build } from "hdr-histogram-js";
import {
  type Candidate,
  DeferredStartCredit,
  selectNext,
} from "../src/policy/selection.ts";
import { PeerBacklogs } from "../src/policy/peer_backlogs.ts";
import type { WorkerPool } from "../src/policy/worker_pool.ts";
import { Shares } from "../src/policy/shares.ts";
import { type WaitingItem, WaitingQueue } from "../src/policy/waiting_queue.ts";
import { fits } from "../src/resources.ts";
import type { Resources } from "../src/types.ts";
import { drawNeed, drawPool } from "./cluster.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

interface Size {
  readonly name: string;
  readonly workers: number;
  readonly slots: number;
  readonly running: number;
  readonly teams: number;
  readonly decisions: number;
  readonly minPerSecond: number;
}

const SIZES: readonly Size[] = [
  {
    name: "workers30",
    workers: 30,
    slots: 8,
    running: 200,
    teams: 12,
    decisions: 50_000,
    minPerSecond: 5_000,
  },
  {
    name: "workers300",
    workers: 300,
    slots: 64,
    running: 2_400,
    teams: 170,
    decisions: 20_000,
    minPerSecond: 2_000,
  },
  {
    name: "workers3000",
    workers: 3_000,
    slots: 64,
    running: 24_000,
    teams: 170,
    decisions: 20_000,
    minPerSecond: 2_000,
  },
  {
    name: "workers19000",
    workers: 19_000,
    slots: 64,
    running: 150_000,
    teams: 170,
    decisions: 20_000,
    minPerSecond: 2_000,
  },
];
const PEERS = 7;
const WAITING = 5_000;
const MAX_P99_MS = 2;
const MICROS_A_MS = 1_000;

/** Runs the bench. */
export function benchDecisions(results: Results, seed: number): void {
  for (const size of SIZES) benchSize(results, { size, seed });
}

function benchSize(
  results: Results,
  options: { readonly size: Size; readonly seed: number },
): void {
  const { size, seed } = options;
  const policy = new PolicyDecider(size, new Random(seed));
  const run = measure(policy, size.decisions);
  results.line(`${size.name}_running`, policy.running);
  results.line(`${size.name}_p50_ms`, run.p50Ms);
  results.atMost(`${size.name}_p99_ms`, run.p99Ms, MAX_P99_MS);
  results.atLeast(`${size.name}_a_second`, run.perSecond, size.minPerSecond);
  const firstFit = new FirstFitDecider(size, new Random(seed));
  const baseline = measure(firstFit, size.decisions);
  results.line(`${size.name}_first_fit_p99_ms`, baseline.p99Ms);
  results.line(`${size.name}_first_fit_a_second`, baseline.perSecond);
}

/** Decides over and over on a fleet that stays as full as it is. */
interface Decider {
  decide(): void;
  /** Ends a task and lets another arrive; not measured. */
  turnOver(): void;
}

function measure(decider: Decider, decisions: number) {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  let totalMs = 0;
  for (let i = 0; i < decisions; i++) {
    decider.turnOver();
    const startedMs = performance.now();
    decider.decide();
    const elapsedMs = performance.now() - startedMs;
    totalMs += elapsedMs;
    histogram.recordValue(Math.round(elapsedMs * MICROS_A_MS));
  }
  return {
    p50Ms: histogram.getValueAtPercentile(50) / MICROS_A_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS_A_MS,
    perSecond: decisions * 1_000 / totalMs,
  };
}

interface Running {
  readonly worker: string;
  readonly team: string;
  readonly need: Resources;
}

/** Running tasks, arrivals and ends, common to both deciders. */
class Fleet {
  readonly pool: WorkerPool;
  readonly random: Random;
  readonly running: Running[] = [];
  readonly #size: Size;
  #next = 0;

  constructor(size: Size, random: Random) {
    this.#size = size;
    this.random = random;
    this.pool = drawPool(random, size);
    for (let i = 0; i < size.running; i++) this.#startAnywhere();
  }

  /** A new request or task. */
  arrival(): WaitingItem {
    const id = this.#next++;
    const team = this.random.below(this.#size.teams);
    const urgent = this.random.unit() < 0.3;
    return {
      id: `${id}`,
      team: `team${team}`,
      queue: "queue",
      workload: urgent ? "receipts" : "billing",
      urgency: urgent ? "urgent" : "deferred",
      need: drawNeed(this.random),
      arrivedAtMs: id,
      ...(urgent ? {} : { dueAtMs: id + 60_000 }),
    };
  }

  /** Ends a random task. */
  endOne(): Running | undefined {
    const index = this.random.below(this.running.length);
    const ended = this.running[index];
    const last = this.running.pop();
    if (ended === undefined || last === undefined) return undefined;
    if (index < this.running.length) this.running[index] = last;
    this.pool.release(ended.worker, ended.need);
    return ended;
  }

  #startAnywhere(): void {
    const { team, need } = this.arrival();
    const worker = this.pool.findWorker(need);
    if (worker === undefined) return;
    this.pool.allocate(worker, need);
    this.running.push({ worker, team, need });
  }
}

class PolicyDecider implements Decider {
  readonly #fleet: Fleet;
  readonly #queue = new WaitingQueue(() => ({
    maxWaiting: Infinity,
    maxWaitingPerTeam: Infinity,
  }));
  readonly #shares = new Shares();
  readonly #turns = new DeferredStartCredit();
  readonly #backlogs: PeerBacklogs;
  #nowMs = 0;

  constructor(size: Size, random: Random) {
    this.#fleet = new Fleet(size, random);
    this.#backlogs = new PeerBacklogs(() => random.unit());
    this.#shares.setCapacity(this.#fleet.pool.totals().capacity);
    for (const { team, need } of this.#fleet.running) {
      this.#shares.charge(team, need);
    }
    for (let i = 0; i < WAITING; i++) this.#queue.push(this.#fleet.arrival());
    for (let i = 0; i < PEERS; i++) this.#hearFrom(`peer${i}`);
  }

  get running(): number {
    return this.#fleet.running.length;
  }

  turnOver(): void {
    this.#nowMs += 1;
    this.#shares.advance(this.#nowMs);
    const ended = this.#fleet.endOne();
    if (ended !== undefined) this.#shares.refund(ended.team, ended.need);
    this.#queue.push(this.#fleet.arrival());
  }

  decide(): void {
    const { pool } = this.#fleet;
    const chosen = selectNext<Candidate>(this.#candidates(), {
      shares: this.#shares,
      hasCapacity: (need) => pool.fitsAny(need),
      nowMs: this.#nowMs,
      deferredCredit: this.#turns,
    });
    if (chosen === undefined) return;
    const worker = pool.findWorker(chosen.need)!;
    pool.allocate(worker, chosen.need);
    this.#shares.charge(chosen.team, chosen.need);
    if ("id" in chosen) this.#queue.remove((chosen as WaitingItem).id);
    this.#fleet.running.push({ worker, team: chosen.team, need: chosen.need });
  }

  *#candidates(): Generator<Candidate> {
    yield* this.#queue.heads();
    yield* this.#backlogs.candidates(this.#nowMs);
  }

  #hearFrom(peer: string): void {
    const backlogs = this.#queue.summary(0);
    this.#backlogs.set(peer, { backlogs, receivedAtMs: 0 });
  }
}

/** First in first out, on the first worker that has room. */
class FirstFitDecider implements Decider {
  readonly #fleet: Fleet;
  readonly #ids: readonly string[];
  #waiting: WaitingItem | undefined;

  constructor(size: Size, random: Random) {
    this.#fleet = new Fleet(size, random);
    this.#ids = [...this.#fleet.pool.ids()];
  }

  turnOver(): void {
    this.#fleet.endOne();
    this.#waiting ??= this.#fleet.arrival();
  }

  decide(): void {
    const { pool, running } = this.#fleet;
    const { need, team } = this.#waiting!;
    const worker = this.#ids.find((id) => fits(need, pool.free(id)!));
    if (worker === undefined) return;
    pool.allocate(worker, need);
    running.push({ worker, team, need });
    this.#waiting = undefined;
  }
}
