/**
 * Teams' shares of the services that are short of capacity, for one pass.
 *
 * @module
 */
import { type CellContext, queueOf, teamOf } from "./context.ts";
import {
  FairShares,
  isAbove,
  isShort,
  type ServiceLoad,
  type TeamShare,
} from "./decisions/fair_shares.ts";
import type { StepRun } from "./job.ts";
import type { WaitReason } from "./step_waits.ts";
import type { Team } from "./types.ts";

/** Reasons of waits for processors: advice names workers with room alone. */
const FOR_CAPACITY: ReadonlySet<WaitReason> = new Set([
  "noRoom",
  "noAdvice",
  "gangIncomplete",
]);

/** Shares by team of a service that is short of capacity. */
export type Shares = ReadonlyMap<string, TeamShare>;

/** Follows the use of the services and tells who is above its share. */
export class TeamShares {
  readonly #context: CellContext;
  readonly #services = new Map<string, FairShares>();
  #short: ReadonlyMap<string, Shares> = new Map();

  constructor(context: CellContext) {
    this.#context = context;
  }

  /** Begins a pass. */
  begin(loads: ReadonlyMap<string, ServiceLoad>): void {
    const { clock, fleet } = this.#context;
    const waiting = this.#waitingTeams();
    const short = new Map<string, Shares>();
    for (const [service, load] of loads) {
      const shares = this.#services.get(service) ?? new FairShares();
      this.#services.set(service, shares);
      shares.note(fleet.usedIn(service), clock.monotonic());
      const teams = waiting.get(service);
      if (teams === undefined || !isShort(load)) continue;
      short.set(service, shares.sharesOf(teams));
    }
    this.#short = short;
  }

  /** The share of a step's team; `undefined` where there is capacity to spare. */
  of({ job }: StepRun): TeamShare | undefined {
    const { service } = queueOf(this.#context, job);
    return this.#short.get(service)?.get(job.team);
  }

  /** Whether a step's team is above its share; `undefined` where there is capacity to spare. */
  isAbove(step: StepRun): boolean | undefined {
    const share = this.of(step);
    return share === undefined ? undefined : isAbove(share);
  }

  /** Teams by service of which a step waits for processors. */
  #waitingTeams(): ReadonlyMap<string, ReadonlySet<Team>> {
    const waiting = new Map<string, Set<Team>>();
    for (const step of this.#context.open) {
      const { reason } = step.waits;
      if (reason === undefined || !FOR_CAPACITY.has(reason)) continue;
      const team = teamOf(this.#context, step.job);
      if (team === undefined) continue;
      const { service } = queueOf(this.#context, step.job);
      const teams = waiting.get(service) ?? new Set();
      waiting.set(service, teams.add(team));
    }
    return waiting;
  }
}
