/**
 * The limits that this instance is home of.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import type { Peers } from "../ports/peers.ts";
import { AllowanceHome, type AllowanceRequest } from "../state/allowance.ts";
import { owners } from "../state/ownership_map.ts";
import { freedNotice, recallNotice, surveyCall } from "./limits_protocol.ts";
import type { Membership } from "./membership.ts";
import type { Ownership } from "./ownership.ts";

/** Prefix of the units that are homes of limits. */
export const TEAM_PREFIX = "team:";

/** Wait before a survey is repeated that some member has not answered, milliseconds. */
const SURVEY_RETRY_MS = 200;

/** Least time between two recalls of one team, milliseconds. */
const RECALL_EVERY_MS = 200;

/** What {@linkcode LimitHomes} works with. */
export interface LimitHomesOptions {
  readonly membership: Membership;
  readonly ownership: Ownership;
  readonly peers: Peers;
  readonly clock: Clock;
}

/** Answer of a home to a request. */
export type HomeAnswer =
  | {
    readonly type: "granted";
    readonly fence: number;
    readonly seq: number;
    readonly hold: number;
  }
  | { readonly type: "surveying" }
  | { readonly type: "notHome" };

interface Home {
  readonly allowance: AllowanceHome;
  /** Whether every member has said what it holds. */
  complete: boolean;
  /** Holders that were refused, in order. */
  readonly waiting: Set<string>;
  recalledAtMs: number;
}

interface Survey {
  readonly surveyed: readonly (readonly [string, Home])[];
  readonly epoch: number;
}

/** Keeps the books of each team at home here. */
export class LimitHomes {
  readonly #options: LimitHomesOptions;
  readonly #homes = new Map<string, Home>();
  #limits: ReadonlyMap<string, number> = new Map();
  #timer: Timer | undefined;
  #surveying = false;
  #running = false;

  constructor(options: LimitHomesOptions) {
    this.#options = options;
    options.ownership.onChange(() => this.#changed());
  }

  start(): void {
    this.#running = true;
    this.#changed();
  }

  stop(): void {
    this.#running = false;
    this.#timer?.cancel();
  }

  /** Puts limits in force. */
  setLimits(limits: ReadonlyMap<string, number>): void {
    this.#limits = limits;
    this.#changed();
    for (const [team, home] of this.#homes) {
      home.recalledAtMs = -Infinity;
      if (home.allowance.available < 0) this.#recall(team, home);
      else this.#tellWaiting(team, home);
    }
  }

  /** Answers a request of a holder; `since` is the epoch of its membership. */
  answer(
    team: string,
    request: AllowanceRequest,
    from: { readonly id: string; readonly since: number },
  ): HomeAnswer {
    const home = this.#homes.get(team);
    const unit = TEAM_PREFIX + team;
    if (home === undefined || !this.#options.ownership.mayDecide(unit)) {
      return { type: "notHome" };
    }
    if (request.fence !== home.allowance.fence) return { type: "notHome" };
    const before = home.allowance.available;
    if (!home.complete) return { type: "surveying" };
    const holders = owners(this.#options.ownership.map()).length;
    const label = labelOf(from.id, from.since);
    const grant = home.allowance.grant(label, request, { holders });
    const short = grant.hold < request.hold + request.need;
    if (short) home.waiting.add(from.id);
    else home.waiting.delete(from.id);
    if (short) this.#recall(team, home);
    else if (home.allowance.available > before) this.#tellWaiting(team, home);
    return { type: "granted", ...grant };
  }

  /** Drops homes that moved away or have no limit, and opens new ones. */
  #changed(): void {
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
    to: { readonly limit: number; readonly fence: number },
  ): void {
    const known = this.#homes.get(team);
    if (known !== undefined) {
      known.allowance.limit = to.limit;
      return;
    }
    const allowance = new AllowanceHome(to.fence, to.limit);
    this.#homes.set(team, {
      allowance,
      complete: false,
      waiting: new Set(),
      recalledAtMs: -Infinity,
    });
  }

  #surveyDue(): boolean {
    return [...this.#homes.values()].some((home) =>
      !home.complete || this.#strays(home).length > 0
    );
  }

  /** Holders that are no longer members; their work has to be counted elsewhere first. */
  #strays(home: Home): readonly string[] {
    const labels = this.#labels();
    return home.allowance.holders.filter((label) => !labels.has(label));
  }

  #labels(): ReadonlySet<string> {
    const map = this.#options.ownership.map();
    return new Set(
      owners(map).map((id) => labelOf(id, map.members.get(id)!.since)),
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
      this.#scheduleSurvey(SURVEY_RETRY_MS);
    }
  }

  async #surveyOnce(): Promise<void> {
    const map = this.#options.ownership.map();
    const surveyed = [...this.#homes].filter(([, home]) =>
      !home.complete || this.#strays(home).length > 0
    );
    const strays = new Map(
      surveyed.map(([team, home]) => [team, this.#strays(home)]),
    );
    const answers = await Promise.all(
      owners(map).map((id) => this.#ask(id, { surveyed, epoch: map.epoch })),
    );
    const unchanged = this.#options.ownership.map() === map;
    if (!unchanged || !answers.every((settled) => settled)) return;
    for (const [team, home] of surveyed) {
      home.complete = true;
      for (const label of strays.get(team)!) home.allowance.forget(label);
      this.#tellWaiting(team, home);
    }
  }

  /** Asks one member; gives whether its answer is complete. */
  async #ask(id: string, survey: Survey): Promise<boolean> {
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
    for (const { team, ...held } of holdings) {
      const label = labelOf(id, since);
      homes.get(team)?.allowance.report(label, held);
    }
    const whole = holdings.length === teams.length;
    return whole && settled && answer.value.epoch === epoch;
  }

  /** Asks holders for what they do not use, down to an even part for each that wants some. */
  #recall(team: string, home: Home): void {
    const { peers, clock } = this.#options;
    const nowMs = clock.monotonic();
    if (nowMs - home.recalledAtMs < RECALL_EVERY_MS) return;
    home.recalledAtMs = nowMs;
    const { fence, limit, holding } = home.allowance;
    const ids = new Set(holding.map(idOf));
    const contenders = new Set([...ids, ...home.waiting]);
    const keep = Math.floor(limit / Math.max(1, contenders.size));
    const over = home.allowance.available < 0;
    for (const id of ids) {
      const alone = home.waiting.has(id) && home.waiting.size === 1;
      if (alone && !over) continue;
      peers.notify(id, recallNotice, { team, fence, keep });
    }
  }

  /** Tells the holders that have waited longest to ask again, as many as there is room for. */
  #tellWaiting(team: string, home: Home): void {
    const { fence, available } = home.allowance;
    const told = [...home.waiting].slice(0, Math.max(0, available));
    for (const id of told) {
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
