/**
 * Measures the time of one scheduling decision, from the choice among the
 * waiting items to the reservation of capacity, on full fleets of present and
 * future size.
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
import { generateNeed, generatePool } from "./generated_fleet.ts";
import { Random } from "./random.ts";
import type { Results } from "./results.ts";

interface FleetSize {
  readonly name: string;
  readonly workers: number;
  readonly slots: number;
  readonly running: number;
  readonly teams: number;
  readonly decisions: number;
  readonly minPerSecond: number;
}

const SIZES: readonly FleetSize[] = [
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
const MICROS_PER_MS = 1_000;

/** Runs the benchmark. */
export function benchDecisions(results: Results, seed: number): void {
  for (const size of SIZES) benchSize(results, { size, seed });
}

function benchSize(
  results: Results,
  options: { readonly size: FleetSize; readonly seed: number },
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

/** A scheduler under measurement, on a fleet whose utilization stays constant. */
interface Decider {
  decide(): void;
  /** Completes a task and adds a new arrival; not part of the measured time. */
  replaceTask(): void;
}

function measure(decider: Decider, decisions: number) {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  let totalMs = 0;
  for (let i = 0; i < decisions; i++) {
    decider.replaceTask();
    const startedMs = performance.now();
    decider.decide();
    const elapsedMs = performance.now() - startedMs;
    totalMs += elapsedMs;
    histogram.recordValue(Math.round(elapsedMs * MICROS_PER_MS));
  }
  return {
    p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS,
    perSecond: decisions * 1_000 / totalMs,
  };
}

interface Running {
  readonly worker: string;
  readonly team: string;
  readonly need: Resources;
}

/** Running tasks, arrivals and completions, common to both deciders. */
class SimulatedFleet {
  readonly pool: WorkerPool;
  readonly random: Random;
  readonly running: Running[] = [];
  readonly #size: FleetSize;
  #next = 0;

  constructor(size: FleetSize, random: Random) {
    this.#size = size;
    this.random = random;
    this.pool = generatePool(random, size);
    for (let i = 0; i < size.running; i++) this.#startAnywhere();
  }

  /** Generates a request or task. */
  generateArrival(): WaitingItem {
    const id = this.#next++;
    const team = this.random.integerBelow(this.#size.teams);
    const urgent = this.random.uniform() < 0.3;
    return {
      id: `${id}`,
      team: `team${team}`,
      queue: "queue",
      workload: urgent ? "receipts" : "billing",
      urgency: urgent ? "urgent" : "deferred",
      need: generateNeed(this.random),
      arrivedAtMs: id,
      ...(urgent ? {} : { dueAtMs: id + 60_000 }),
    };
  }

  /** Completes a random task. */
  completeRandom(): Running | undefined {
    const index = this.random.integerBelow(this.running.length);
    const ended = this.running[index];
    const last = this.running.pop();
    if (ended === undefined || last === undefined) return undefined;
    if (index < this.running.length) this.running[index] = last;
    this.pool.release(ended.worker, ended.need);
    return ended;
  }

  #startAnywhere(): void {
    const { team, need } = this.generateArrival();
    const worker = this.pool.findWorker(need);
    if (worker === undefined) return;
    this.pool.allocate(worker, need);
    this.running.push({ worker, team, need });
  }
}

class PolicyDecider implements Decider {
  readonly #fleet: SimulatedFleet;
  readonly #queue = new WaitingQueue(() => ({
    maxWaiting: Infinity,
    maxWaitingPerTeam: Infinity,
  }));
  readonly #shares = new Shares();
  readonly #turns = new DeferredStartCredit();
  readonly #backlogs: PeerBacklogs;
  #nowMs = 0;

  constructor(size: FleetSize, random: Random) {
    this.#fleet = new SimulatedFleet(size, random);
    this.#backlogs = new PeerBacklogs(() => random.uniform());
    this.#shares.setCapacity(this.#fleet.pool.totals().capacity);
    for (const { team, need } of this.#fleet.running) {
      this.#shares.charge(team, need);
    }
    for (let i = 0; i < WAITING; i++) {
      this.#queue.push(this.#fleet.generateArrival());
    }
    for (let i = 0; i < PEERS; i++) this.#receiveBacklog(`peer${i}`);
  }

  get running(): number {
    return this.#fleet.running.length;
  }

  replaceTask(): void {
    this.#nowMs += 1;
    this.#shares.advance(this.#nowMs);
    const ended = this.#fleet.completeRandom();
    if (ended !== undefined) this.#shares.refund(ended.team, ended.need);
    this.#queue.push(this.#fleet.generateArrival());
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

  #receiveBacklog(peer: string): void {
    const backlogs = this.#queue.summary(0);
    this.#backlogs.set(peer, { backlogs, receivedAtMs: 0 });
  }
}

/** First in first out, on the first worker with enough free capacity. */
class FirstFitDecider implements Decider {
  readonly #fleet: SimulatedFleet;
  readonly #ids: readonly string[];
  #waiting: WaitingItem | undefined;

  constructor(size: FleetSize, random: Random) {
    this.#fleet = new SimulatedFleet(size, random);
    this.#ids = [...this.#fleet.pool.ids()];
  }

  replaceTask(): void {
    this.#fleet.completeRandom();
    this.#waiting ??= this.#fleet.generateArrival();
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
