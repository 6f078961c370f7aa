/**
 * Components of an instance that dispatch waiting work to workers.
 *
 * @module
 */
import { Matching } from "../controllers/matching.ts";
import { OwnedWorkers } from "../controllers/owned_workers.ts";
import { Placement, type RunObserver } from "../controllers/placement.ts";
import { RequestDispatcher } from "../controllers/request_dispatcher.ts";
import {
  type ReportCompletion,
  TaskSupervisor,
} from "../controllers/task_supervisor.ts";
import { TaskSizes } from "../controllers/task_sizes.ts";
import { WorkerHealth } from "../controllers/worker_health.ts";
import { WorkerPool } from "../policy/worker_pool.ts";
import { Shares } from "../policy/shares.ts";
import { WaitingQueue } from "../policy/waiting_queue.ts";
import { RetryTokenBucket } from "../retry_budget.ts";
import type { ClusterComponents } from "./cluster_components.ts";
import { DrainRates } from "./drain_rates.ts";
import type { InstanceOptions } from "./instance_options.ts";
import type { ActiveSettings } from "./active_settings.ts";

/** Dependencies of the components. */
export interface DispatchContext {
  readonly options: InstanceOptions;
  readonly cluster: ClusterComponents;
  readonly settings: ActiveSettings;
  readonly observer: RunObserver;
  /** Reports the completion of a task to its origin instance. */
  readonly reportCompletion: ReportCompletion;
}

/** The components. */
export type DispatchComponents = ReturnType<typeof createDispatchComponents>;

/** Creates the components. */
export function createDispatchComponents(context: DispatchContext) {
  const { options, cluster, settings, observer, reportCompletion } = context;
  const { peers, upstream, clock, log } = options;
  const { allowances, members } = cluster;
  const queue = new WaitingQueue((name) => settings.boundOf(name));
  const pool = new WorkerPool();
  const shares = new Shares();
  const drainRates = new DrainRates({ clock, queue });
  const common = { pool, allowances, upstream, peers, clock, log, observer };
  const workerHealth = new WorkerHealth({ peers, members, clock, log });
  const workers = createOwnedWorkers(context, {
    pool,
    workerHealth,
  });
  const placement = new Placement({
    ...common,
    workloadOf: (name) => settings.workload(name),
    authority: cluster.authority,
    workers,
  });
  useEstimatedSizes(context, { placement, workers, shares });
  const matching = new Matching({
    ...common,
    placement,
    limitedTeams: () => settings.limits().keys(),
    queue,
    shares,
    members,
  });
  const requests = new RequestDispatcher({
    ...common,
    matching,
    placement,
    retryBudget: new RetryTokenBucket(),
    retryAfterMs: (name) => drainRates.retryAfterMs(name),
    canAnswerInTime: (name, budgetMs) =>
      drainRates.canAnswerInTime(name, budgetMs),
    onDispatched: (name) => drainRates.record(name),
  });
  const taskSupervisor = new TaskSupervisor({
    ...common,
    placement,
    workers,
    reportCompletion,
  });
  return {
    queue,
    pool,
    shares,
    drainRates,
    workerHealth,
    workers,
    placement,
    matching,
    requests,
    taskSupervisor,
  };
}

function createOwnedWorkers(
  { options, cluster, settings }: DispatchContext,
  parts: {
    readonly pool: WorkerPool;
    readonly workerHealth: WorkerHealth;
  },
): OwnedWorkers {
  const { upstream, clock, log } = options;
  const { authority, fleet } = cluster;
  return new OwnedWorkers({
    ...parts,
    maxRequestResources: () => settings.largestRequest(),
    authority,
    fleet,
    upstream,
    clock,
    log,
    isDrained: (id) => settings.isDrained(id, fleet.worker(id)?.zone),
  });
}

/** Makes placement reserve the estimated usage of a task where it exceeds the declared resources. */
function useEstimatedSizes(
  { options, cluster, settings }: DispatchContext,
  { placement, workers, shares }: {
    readonly placement: Placement;
    readonly workers: OwnedWorkers;
    readonly shares: Shares;
  },
): void {
  const { upstream, log } = options;
  const sizes = new TaskSizes({
    workers,
    fleet: cluster.fleet,
    upstream,
    log,
    workloadOf: (name) => settings.workload(name),
    queueOf: (name) => settings.queue(name),
    rankOf: (team) => shares.rank(team),
  });
  placement.setSizeOf((task) => sizes.sizeOf(task));
}
