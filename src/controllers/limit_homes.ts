/**
 * Accounts for the team limits whose home is this instance: the home of a limit
 * is the instance that owns the limit's unit.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import { AllowanceHome, type AllowanceRequest } from "../state/allowance.ts";
import { eligibleOwners } from "../state/ownership_map.ts";
import { freedNotice, recallNotice, surveyCall } from "./limits_protocol.ts";
import type { Membership } from "./membership.ts";
import type { Ownership } from "./ownership.ts";

/** Prefix of the units that represent team limits. The owner of such a unit is the limit's home. */
export const TEAM_PREFIX = "team:";

/** Delay before an incomplete survey of the members' allowances is repeated, in milliseconds. */
const SURVEY_RETRY_DELAY_MS = 200;

/** Minimum interval between two recalls of unused allowance for one team, in milliseconds. */
const MIN_RECALL_INTERVAL_MS = 200;

/** Dependencies of {@linkcode LimitHomes}. */
export interface LimitHomesOptions {
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly peers: Peers;
  readonly clock: Clock;
}

/** Response of a limit's home to an allowance request. */
export type HomeResponse =
  | {
    readonly type: "granted";
    readonly fence: number;
    readonly seq: number;
    readonly hold: number;
  }
  | { readonly type: "surveying" }
  | { readonly type: "notHome" };

/** State of one team's limit at its home, the instance that owns the limit. */
interface LimitHome {
  readonly allowance: AllowanceHome;
  /** Whether every member instance has reported its allowance from this limit and the team's work that runs there. */
  complete: boolean;
  /** Ids of the allowance holders whose requests were not granted in full, in order. */
  readonly waiting: Set<string>;
  recalledAtMs: number;
}

interface Survey {
  readonly surveyed: readonly (readonly [string, LimitHome])[];
  readonly epoch: number;
}

/** Accounts for the allowances of each team whose home is this instance. */
export class LimitHomes {
  readonly #options: LimitHomesOptions;
  readonly #homes = new Map<string, LimitHome>();
  #limits: ReadonlyMap<string, number> = new Map();
  #timer: Timer | undefined;
  #surveying = false;
  #running = false;

  constructor(options: LimitHomesOptions) {
    this.#options = options;
    options.ownership.onChange(() => this.#syncHomes());
  }

  start(): void {
    this.#running = true;
    this.#syncHomes();
  }

  stop(): void {
    this.#running = false;
    this.#timer?.cancel();
  }

  /** Sets the active limits by team. */
  setLimits(limits: ReadonlyMap<string, number>): void {
    this.#limits = limits;
    this.#syncHomes();
    for (const [team, home] of this.#homes) {
      home.recalledAtMs = -Infinity;
      if (home.allowance.available < 0) this.#recall(team, home);
      else this.#notifyWaiting(team, home);
    }
  }

  /** Handles an allowance holder's request; `since` is the map epoch at which the holder became a member. */
  handleRequest(
    team: string,
    request: AllowanceRequest,
    from: { readonly id: string; readonly since: number },
  ): HomeResponse {
    const home = this.#homes.get(team);
    const unit = TEAM_PREFIX + team;
    if (home === undefined || !this.#options.ownership.mayDecide(unit)) {
      return { type: "notHome" };
    }
    if (request.fence !== home.allowance.fence) return { type: "notHome" };
    const before = home.allowance.available;
    if (!home.complete) return { type: "surveying" };
    const holders = eligibleOwners(this.#options.ownership.map()).length;
    const label = labelOf(from.id, from.since);
    const grant = home.allowance.grant(label, request, { holders });
    const isPartial = grant.hold < request.hold + request.need;
    if (isPartial) home.waiting.add(from.id);
    else home.waiting.delete(from.id);
    if (isPartial) this.#recall(team, home);
    else if (home.allowance.available > before) this.#notifyWaiting(team, home);
    return { type: "granted", ...grant };
  }

  /** Drops the state of limits that moved to another owner or no longer exist, and opens that of newly owned limits. */
  #syncHomes(): void {
    const { ownership } = this.#options;
    for (const [team, home] of this.#homes) {
      const moved =
        ownership.fenceOf(TEAM_PREFIX + team) !== home.allowance.fence;
      if (moved || !this.#limits.has(team)) this.#homes.delete(team);
    }
    for (const unit of ownership.owned(TEAM_PREFIX)) {
      const team = unit.slice(TEAM_PREFIX.length);
      const limit = this.#limits.get(team);
      if (limit === undefined) continue;
      this.#open(team, { limit, fence: ownership.fenceOf(unit)! });
    }
    if (this.#running && this.#surveyDue()) this.#scheduleSurvey(0);
  }

  #open(
    team: string,
    terms: { readonly limit: number; readonly fence: number },
  ): void {
    const existing = this.#homes.get(team);
    if (existing !== undefined) {
      existing.allowance.limit = terms.limit;
      return;
    }
    const allowance = new AllowanceHome(terms.fence, terms.limit);
    this.#homes.set(team, {
      allowance,
      complete: false,
      waiting: new Set(),
      recalledAtMs: -Infinity,
    });
  }

  #surveyDue(): boolean {
    return [...this.#homes.values()].some((home) =>
      !home.complete || this.#formerMembers(home).length > 0
    );
  }

  /**
   * Allowance holders that are no longer members. The home forgets their
   * allowances only after the other members have counted their work.
   */
  #formerMembers(home: LimitHome): readonly string[] {
    const labels = this.#memberLabels();
    return home.allowance.holders.filter((label) => !labels.has(label));
  }

  #memberLabels(): ReadonlySet<string> {
    const map = this.#options.ownership.map();
    return new Set(
      eligibleOwners(map).map((id) => labelOf(id, map.members.get(id)!.since)),
    );
  }

  #scheduleSurvey(delayMs: number): void {
    if (this.#surveying) return;
    this.#timer?.cancel();
    this.#timer = this.#options.clock.after(delayMs, () => this.#survey());
  }

  async #survey(): Promise<void> {
    if (!this.#running || this.#surveying) return;
    this.#surveying = true;
    await this.#surveyOnce();
    this.#surveying = false;
    if (this.#running && this.#surveyDue()) {
      this.#scheduleSurvey(SURVEY_RETRY_DELAY_MS);
    }
  }

  async #surveyOnce(): Promise<void> {
    const map = this.#options.ownership.map();
    const surveyed = [...this.#homes].filter(([, home]) =>
      !home.complete || this.#formerMembers(home).length > 0
    );
    const former = new Map(
      surveyed.map(([team, home]) => [team, this.#formerMembers(home)]),
    );
    const complete = await Promise.all(
      eligibleOwners(map).map((id) =>
        this.#surveyMember(id, { surveyed, epoch: map.epoch })
      ),
    );
    const unchanged = this.#options.ownership.map() === map;
    if (!unchanged || !complete.every((each) => each)) return;
    for (const [team, home] of surveyed) {
      home.complete = true;
      for (const label of former.get(team)!) home.allowance.forget(label);
      this.#notifyWaiting(team, home);
    }
  }

  /** Asks one member for its allowances and running work. Returns whether its answer is complete. */
  async #surveyMember(id: string, survey: Survey): Promise<boolean> {
    const { surveyed, epoch } = survey;
    const { peers, membership } = this.#options;
    const teams = surveyed.map(([team, home]) => ({
      team,
      fence: home.allowance.fence,
    }));
    const answer = await peers.call(id, surveyCall, {
      params: { epoch, teams },
      timeoutMs: membership.timing.peerTimeoutMs,
    });
    if (answer.isErr()) return false;
    const { holdings, settled, since } = answer.value;
    const homes = new Map(surveyed);
    for (const { team, ...holding } of holdings) {
      const label = labelOf(id, since);
      homes.get(team)?.allowance.report(label, holding);
    }
    const coversAllTeams = holdings.length === teams.length;
    return coversAllTeams && settled && answer.value.epoch === epoch;
  }

  /**
   * Asks the allowance holders to return unused allowance, down to an even share
   * for each holder and each instance that waits for allowance.
   */
  #recall(team: string, home: LimitHome): void {
    const { peers, clock } = this.#options;
    const nowMs = clock.monotonic();
    if (nowMs - home.recalledAtMs < MIN_RECALL_INTERVAL_MS) return;
    home.recalledAtMs = nowMs;
    const { fence, limit, activeHolders } = home.allowance;
    const ids = new Set(activeHolders.map(idOf));
    const contenders = new Set([...ids, ...home.waiting]);
    const keep = Math.floor(limit / Math.max(1, contenders.size));
    const isOverLimit = home.allowance.available < 0;
    for (const id of ids) {
      const isOnlyWaiter = home.waiting.has(id) && home.waiting.size === 1;
      if (isOnlyWaiter && !isOverLimit) continue;
      peers.notify(id, recallNotice, { team, fence, keep });
    }
  }

  /**
   * Notifies the longest-waiting allowance holders to request again: as many as
   * there are free units of allowance.
   */
  #notifyWaiting(team: string, home: LimitHome): void {
    const { fence, available } = home.allowance;
    const notified = [...home.waiting].slice(0, Math.max(0, available));
    for (const id of notified) {
      home.waiting.delete(id);
      this.#options.peers.notify(id, freedNotice, { team, fence });
    }
  }
}

function labelOf(id: string, since: number): string {
  return `${id}@${since}`;
}

function idOf(label: string): string {
  return label.slice(0, label.lastIndexOf("@"));
}
