/**
 * Components of an instance that manage deferred work and idempotency keys.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { DeferredWork } from "../controllers/deferred_work.ts";
import { DEFERRED_WORK_LIMITS } from "../controllers/deferred_options.ts";
import { GangScheduler } from "../controllers/gang_scheduler.ts";
import { IdempotencyKeyGuard } from "../controllers/idempotency_key_guard.ts";
import { IdempotencyKeys } from "../controllers/idempotency_keys.ts";
import { SegmentAdoption } from "../controllers/segment_adoption.ts";
import {
  reservationOrder,
  TaskDispatcher,
} from "../controllers/task_dispatcher.ts";
import { WorkService } from "../controllers/work_service.ts";
import { WriteBudget } from "../journal/write_budget.ts";
import { KEY_LIMITS } from "../state/key_table.ts";
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
  const tasks = new TaskDispatcher({
    ...common,
    ...dispatch,
    fleet: cluster.fleet,
    queueOf: (name) => settings.queue(name),
  });
  const deferred = new DeferredWork({
    ...common,
    store,
    newId: randomUUID,
    runner: tasks,
    budget: new WriteBudget(clock, {
      perSecond: JOURNAL_WRITES_PER_SECOND,
      burst: JOURNAL_WRITE_BURST,
    }),
    limits: DEFERRED_WORK_LIMITS,
    onLost: (segment) => segments.lost(segment),
    onRetired: (segment) => segments.retired(segment),
  });
  const gangs = new GangScheduler({
    ...common,
    tasks,
    deferred,
    random,
    owners: () => reservationOrder(membership.members()),
  });
  tasks.connect(deferred, gangs);
  const segments = new SegmentAdoption({ ...common, ownership, deferred });
  const keys = new IdempotencyKeys({
    ...common,
    limits: KEY_LIMITS,
    callTimeoutMs: KEY_CALL_TIMEOUT_MS,
    newId: randomUUID,
  });
  return {
    tasks,
    deferred,
    gangs,
    segments,
    desk: new WorkService({ ...common, deferred }),
    keys,
    keyGuard: new IdempotencyKeyGuard(keys, clock),
  };
}
