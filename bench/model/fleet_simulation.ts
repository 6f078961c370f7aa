/**
 * Simulates a fleet of instances that schedules a trace by the product's policy code, with injected faults.
 *
 * @module
 */
import { EventQueue } from "./event_queue.ts";
import {
  type FleetModel,
  SimulatedInstance,
  type SimulationParameters,
} from "./simulated_instance.ts";
import { Network } from "./network.ts";
import { Outcomes } from "./outcomes.ts";
import { type Item, SLOTS } from "./trace.ts";

/** Number of simulated instances. */
export const INSTANCES = 8;
/** Slots per worker. */
const WORKER_SLOTS = 6;
/** Time until peers detect that an instance has failed. */
const FAILURE_DETECTION_MS = 2;
/** Time until the surviving instances own the workers of a failed one. */
const TAKEOVER_MS = 10_000;

/** The fault injected into a simulation. */
export type Fault =
  | { readonly type: "none" }
  | { readonly type: "kill"; readonly atMs: number }
  | { readonly type: "badWorkers"; readonly count: number };

/** Options of one simulation. */
export interface FleetOptions {
  readonly parameters: SimulationParameters;
  readonly entryOf: (item: Item) => number;
  readonly fault: Fault;
  readonly untilMs: number;
}

/** Result of one simulation. */
export interface FleetResult {
  readonly outcomes: Outcomes;
  readonly network: Network;
}

/** Simulates the fleet on a trace. */
export function runFleet(
  trace: readonly Item[],
  options: FleetOptions,
): FleetResult {
  const model = createModel(trace.length, options);
  for (const item of trace) {
    model.events.after(item.arrivedAtMs, () => {
      nextAlive(model, options.entryOf(item)).arrive(item);
    });
  }
  if (options.fault.type === "kill") scheduleKill(model, options.fault.atMs);
  model.events.runUntil(options.untilMs);
  return model;
}

function createModel(length: number, options: FleetOptions): FleetModel {
  const events = new EventQueue();
  const model: FleetModel = {
    events,
    network: new Network(events, options.parameters.hopMs),
    outcomes: new Outcomes(length),
    parameters: options.parameters,
    instances: [],
    badWorkers: badWorkers(options.fault),
  };
  for (let i = 0; i < INSTANCES; i++) {
    model.instances.push(new SimulatedInstance(model, `i${i}`));
  }
  for (let i = 0; i < SLOTS / WORKER_SLOTS; i++) {
    model.instances[i % INSTANCES]!.own(`w${i}`, WORKER_SLOTS);
  }
  return model;
}

function badWorkers(fault: Fault): Set<string> {
  const count = fault.type === "badWorkers" ? fault.count : 0;
  return new Set(Array.from({ length: count }, (_, i) => `w${i}`));
}

/** Returns the chosen instance, or the next one that is alive, as a load balancer does. */
function nextAlive(model: FleetModel, index: number): SimulatedInstance {
  const { instances } = model;
  const order = [...instances.slice(index), ...instances.slice(0, index)];
  return order.find(({ alive }) => alive)!;
}

function scheduleKill(model: FleetModel, atMs: number): void {
  const [victim, ...survivors] = model.instances;
  model.events.after(atMs, () => {
    const pending = victim!.pendingItems();
    victim!.alive = false;
    settleDisconnected(model, pending);
    model.events.after(FAILURE_DETECTION_MS, () => {
      for (const survivor of survivors) survivor.onPeerLost(victim!);
    });
    model.events.after(TAKEOVER_MS, () => {
      reassign(victim!, { survivors, pending, model });
    });
  });
}

/** Settles urgent items at the failed instance as disconnected: their callers lose the response. */
function settleDisconnected(model: FleetModel, pending: readonly Item[]): void {
  for (const item of pending) {
    if (item.urgency === "urgent") model.outcomes.settle(item, "disconnected");
  }
}

function reassign(
  victim: SimulatedInstance,
  options: {
    readonly survivors: readonly SimulatedInstance[];
    readonly pending: readonly Item[];
    readonly model: FleetModel;
  },
): void {
  const { survivors, pending, model } = options;
  let next = 0;
  for (const worker of victim.pool.ids()) {
    survivors[next++ % survivors.length]!.own(worker, WORKER_SLOTS);
  }
  for (const item of pending) {
    if (item.urgency === "urgent" || model.outcomes.isSettled(item)) continue;
    survivors[next++ % survivors.length]!.arrive(item);
  }
}
