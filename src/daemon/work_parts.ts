/**
 * The parts of an instance that keep deferred work and idempotency keys.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Deferred } from "../controllers/deferred.ts";
import { DEFERRED_LIMITS } from "../controllers/deferred_options.ts";
import { Gangs } from "../controllers/gangs.ts";
import { HomeKeyGuard } from "../controllers/home_key_guard.ts";
import { HomeKeys } from "../controllers/home_keys.ts";
import { Segments } from "../controllers/segments.ts";
import { reservationOrder, Tasks } from "../controllers/tasks.ts";
import { WorkDesk } from "../controllers/work_desk.ts";
import { WriteBudget } from "../journal/write_budget.ts";
import { KEY_LIMITS } from "../state/key_memory.ts";
import type { ClusterParts } from "./cluster_parts.ts";
import type { DispatchParts } from "./dispatch_parts.ts";
import type { InstanceOptions } from "./instance_options.ts";
import type { SettingsInForce } from "./settings_in_force.ts";

/** Writes to the platform's service that one instance's journal may make. */
const JOURNAL_WRITES_PER_SECOND = 25;
/** Writes that may be made in a burst. */
const JOURNAL_BURST = 25;
/** Longest wait for the home of an idempotency key, milliseconds. */
const KEY_CALL_MS = 1_000;

/** What the parts depend on. */
export interface WorkContext {
  readonly options: InstanceOptions;
  readonly cluster: ClusterParts;
  readonly dispatch: DispatchParts;
  readonly settings: SettingsInForce;
}

/** Makes the parts. */
export function workParts(
  { options, cluster, dispatch, settings }: WorkContext,
) {
  const { store, peers, clock, log, random } = options;
  const { authority, ownership, membership, members } = cluster;
  const self = options.self.id;
  const workloadOf = (name: string) => settings.workload(name);
  const common = { self, authority, peers, clock, log, members, workloadOf };
  const tasks = new Tasks({
    ...common,
    ...dispatch,
    fleet: cluster.fleet,
    queueOf: (name) => settings.queue(name),
  });
  const deferred = new Deferred({
    ...common,
    store,
    newId: randomUUID,
    runner: tasks,
    budget: new WriteBudget(clock, {
      perSecond: JOURNAL_WRITES_PER_SECOND,
      burst: JOURNAL_BURST,
    }),
    limits: DEFERRED_LIMITS,
    lost: (segment) => segments.lost(segment),
    retired: (segment) => segments.retired(segment),
  });
  const gangs = new Gangs({
    ...common,
    tasks,
    deferred,
    random,
    owners: () => reservationOrder(membership.members()),
  });
  tasks.connect(deferred, gangs);
  const segments = new Segments({ ...common, ownership, deferred });
  const keys = new HomeKeys({
    ...common,
    limits: KEY_LIMITS,
    callMs: KEY_CALL_MS,
    newId: randomUUID,
  });
  return {
    tasks,
    deferred,
    gangs,
    segments,
    desk: new WorkDesk({ ...common, deferred }),
    keys,
    keyGuard: new HomeKeyGuard(keys, clock),
  };
}
