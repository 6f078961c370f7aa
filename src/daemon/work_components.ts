/**
 * Components of an instance that manage deferred work and idempotency keys.
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
import type { ClusterComponents } from "./cluster_components.ts";
import type { DispatchComponents } from "./dispatch_components.ts";
import type { InstanceOptions } from "./instance_options.ts";
import type { ActiveSettings } from "./active_settings.ts";

/** Largest sustained rate of writes of an instance's journal to the key-value service. */
const JOURNAL_WRITES_PER_SECOND = 25;
/** Largest burst of such writes. */
const JOURNAL_WRITE_BURST = 25;
/** Timeout of a call to the home of an idempotency key, milliseconds. */
const KEY_CALL_TIMEOUT_MS = 1_000;

/** Dependencies of the components. */
export interface WorkContext {
  readonly options: InstanceOptions;
  readonly cluster: ClusterComponents;
  readonly dispatch: DispatchComponents;
  readonly settings: ActiveSettings;
}

/** Creates the components. */
export function createWorkComponents(
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
      burst: JOURNAL_WRITE_BURST,
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
    callMs: KEY_CALL_TIMEOUT_MS,
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
