/**
 * Runs a trace through instances of the design, with faults.
 *
 * @module
 */
import { Events } from "./events.ts";
import { Instance, type Parameters, type World } from "./instance.ts";
import { Network } from "./network.ts";
import { Outcomes } from "./record.ts";
import { type Item, SLOTS } from "./trace.ts";

/** Instances of the model. */
export const INSTANCES = 8;
/** Slots of one worker. */
const WORKER_SLOTS = 6;
/** Time until peers notice that an instance is gone. */
const LOSS_NOTICED_MS = 2;
/** Time until survivors own what a dead instance owned. */
const TAKEOVER_MS = 10_000;

/** A fault of a run. */
export type Fault =
  | { readonly type: "none" }
  | { readonly type: "kill"; readonly atMs: number }
  | { readonly type: "badWorkers"; readonly count: number };

/** A run of the design. */
export interface FleetOptions {
  readonly parameters: Parameters;
  readonly entryOf: (item: Item) => number;
  readonly fault: Fault;
  readonly untilMs: number;
}

/** What a run gave. */
export interface FleetRun {
  readonly outcomes: Outcomes;
  readonly network: Network;
}

/** Runs a trace. */
export function runFleet(
  trace: readonly Item[],
  options: FleetOptions,
): FleetRun {
  const world = newWorld(trace.length, options);
  for (const item of trace) {
    world.events.after(item.arrivedAtMs, () => {
      entry(world, options.entryOf(item)).arrive(item);
    });
  }
  if (options.fault.type === "kill") scheduleKill(world, options.fault.atMs);
  world.events.run(options.untilMs);
  return world;
}

function newWorld(length: number, options: FleetOptions): World {
  const events = new Events();
  const world: World = {
    events,
    network: new Network(events, options.parameters.hopMs),
    outcomes: new Outcomes(length),
    parameters: options.parameters,
    instances: [],
    badWorkers: badWorkers(options.fault),
  };
  for (let i = 0; i < INSTANCES; i++) {
    world.instances.push(new Instance(world, `i${i}`));
  }
  for (let i = 0; i < SLOTS / WORKER_SLOTS; i++) {
    world.instances[i % INSTANCES]!.own(`w${i}`, WORKER_SLOTS);
  }
  return world;
}

function badWorkers(fault: Fault): Set<string> {
  const count = fault.type === "badWorkers" ? fault.count : 0;
  return new Set(Array.from({ length: count }, (_, i) => `w${i}`));
}

/** The balancer sends to the next instance when the chosen one is gone. */
function entry(world: World, index: number): Instance {
  const { instances } = world;
  const order = [...instances.slice(index), ...instances.slice(0, index)];
  return order.find(({ alive }) => alive)!;
}

function scheduleKill(world: World, atMs: number): void {
  const [victim, ...survivors] = world.instances;
  world.events.after(atMs, () => {
    const held = victim!.held();
    victim!.alive = false;
    disconnect(world, held);
    world.events.after(LOSS_NOTICED_MS, () => {
      for (const survivor of survivors) survivor.lost(victim!);
    });
    world.events.after(TAKEOVER_MS, () => {
      adopt(victim!, { survivors, held, world });
    });
  });
}

/** Callers connected to the dead instance lose their answers. */
function disconnect(world: World, held: readonly Item[]): void {
  for (const item of held) {
    if (item.urgency === "urgent") world.outcomes.settle(item, "disconnected");
  }
}

function adopt(
  victim: Instance,
  options: {
    readonly survivors: readonly Instance[];
    readonly held: readonly Item[];
    readonly world: World;
  },
): void {
  const { survivors, held, world } = options;
  let next = 0;
  for (const worker of victim.pool.ids()) {
    survivors[next++ % survivors.length]!.own(worker, WORKER_SLOTS);
  }
  for (const item of held) {
    if (item.urgency === "urgent" || world.outcomes.isSettled(item)) continue;
    survivors[next++ % survivors.length]!.arrive(item);
  }
}
