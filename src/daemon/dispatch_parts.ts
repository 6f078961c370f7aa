/**
 * The parts of an instance that bring waiting work and workers together.
 *
 * @module
 */
import { Matching } from "../controllers/matching.ts";
import { OwnedWorkers } from "../controllers/owned_workers.ts";
import { Placement, type RunObserver } from "../controllers/placement.ts";
import { Requests } from "../controllers/requests.ts";
import { TaskKeeper, type TellHolder } from "../controllers/task_keeper.ts";
import { TaskSizes } from "../controllers/task_sizes.ts";
import { WorkerStandings } from "../controllers/worker_standings.ts";
import { WorkerPool } from "../policy/pool.ts";
import { Shares } from "../policy/shares.ts";
import { WaitingQueue } from "../policy/waiting.ts";
import { RetryTokens } from "../retry_budget.ts";
import type { ClusterParts } from "./cluster_parts.ts";
import { DrainRates } from "./drain_rates.ts";
import type { InstanceOptions } from "./instance_options.ts";
import type { SettingsInForce } from "./settings_in_force.ts";

/** What the parts depend on. */
export interface DispatchContext {
  readonly options: InstanceOptions;
  readonly cluster: ClusterParts;
  readonly settings: SettingsInForce;
  readonly observer: RunObserver;
  /** Brings endings of tasks to their holders. */
  readonly tell: TellHolder;
}

/** The parts. */
export type DispatchParts = ReturnType<typeof dispatchParts>;

/** Makes the parts. */
export function dispatchParts(context: DispatchContext) {
  const { options, cluster, settings, observer, tell } = context;
  const { peers, upstream, clock, log } = options;
  const { allowances, members } = cluster;
  const queue = new WaitingQueue((name) => settings.boundOf(name));
  const pool = new WorkerPool();
  const shares = new Shares();
  const drainRates = new DrainRates({ clock, queue });
  const common = { pool, allowances, upstream, peers, clock, log, observer };
  const standings = new WorkerStandings({ peers, members, clock, log });
  const workers = ownedWorkers(context, { pool, standings });
  const placement = new Placement({
    ...common,
    workloadOf: (name) => settings.workload(name),
    authority: cluster.authority,
    workers,
  });
  sizeTasks(context, { placement, workers, shares });
  const matching = new Matching({
    ...common,
    placement,
    limitedTeams: () => settings.limits().keys(),
    queue,
    shares,
    members,
  });
  const requests = new Requests({
    ...common,
    matching,
    placement,
    retries: new RetryTokens(),
    retryAfterMs: (name) => drainRates.retryAfterMs(name),
    canAnswerInTime: (name, budgetMs) =>
      drainRates.canAnswerInTime(name, budgetMs),
    departed: (name) => drainRates.departed(name),
  });
  const keeper = new TaskKeeper({ ...common, placement, workers, tell });
  return {
    queue,
    pool,
    shares,
    drainRates,
    standings,
    workers,
    placement,
    matching,
    requests,
    keeper,
  };
}

function ownedWorkers(
  { options, cluster, settings }: DispatchContext,
  parts: {
    readonly pool: WorkerPool;
    readonly standings: WorkerStandings;
  },
): OwnedWorkers {
  const { upstream, clock, log } = options;
  const { authority, fleet } = cluster;
  return new OwnedWorkers({
    ...parts,
    largestRequest: () => settings.largestRequest(),
    authority,
    fleet,
    upstream,
    clock,
    log,
    drained: (id) => settings.drained(id, fleet.worker(id)?.zone),
  });
}

/** Lets tasks be placed by the sizes that were seen. */
function sizeTasks(
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
  placement.sizeBy((task) => sizes.sizeOf(task));
}
