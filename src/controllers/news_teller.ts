/**
 * Tells the peers what waits here and what is free on the owned workers.
 *
 * @module
 */
import type { Clock, Timer } from "../clock.ts";
import { Announcer } from "../policy/announcer.ts";
import type { WorkerPool } from "../policy/pool.ts";
import type { WaitingQueue } from "../policy/waiting.ts";
import type { RunPermits } from "../ports/authority.ts";
import type { Peers } from "../ports/peers.ts";
import { elementwiseMax, zeroResources } from "../resources.ts";
import type { Resources } from "../types.ts";
import { type LoadReport, loadReportNotice } from "../wire/dispatch.ts";
import type { Placement } from "./placement.ts";

/** Least time between two pieces of news while urgent work waits, milliseconds. */
const PRESSING_GAP_MS = 1;
/** Least time between two pieces of news otherwise, milliseconds. */
const ORDINARY_GAP_MS = 20;
/** Time between pieces of news when nothing changes, milliseconds. */
const NEWS_HEARTBEAT_MS = 1_000;

/** What news is made of and whom it goes to. */
export interface NewsOptions {
  readonly placement: Placement;
  readonly allowances: RunPermits;
  /** Teams that have an upper limit. */
  readonly limitedTeams: () => Iterable<string>;
  readonly pool: WorkerPool;
  readonly queue: WaitingQueue;
  readonly peers: Peers;
  readonly clock: Clock;
  /** Ids of the other instances. */
  readonly members: () => readonly string[];
}

/** Sends news when something has changed, and now and then. */
export class NewsTeller {
  readonly #options: NewsOptions;
  #sequence = 0;
  #lastNews = "";
  #newsTimer: Timer | undefined;
  readonly #announcer = new Announcer({
    ordinaryGapMs: ORDINARY_GAP_MS,
    pressingGapMs: PRESSING_GAP_MS,
  });
  #stopped = false;

  constructor(options: NewsOptions) {
    this.#options = options;
    this.#heartbeat();
  }

  /** Ends the timers. */
  stop(): void {
    this.#stopped = true;
    this.#newsTimer?.cancel();
  }

  /** Sends news if it differs from the last: at once while urgent work waits, else soon. */
  tell(): void {
    if (this.#stopped) return;
    const nowMs = this.#options.clock.monotonic();
    this.#announcer.note(this.#urgentWaits() ? "pressing" : "ordinary", nowMs);
    this.#newsTimer?.cancel();
    const delayMs = this.#announcer.dueAtMs - nowMs;
    if (delayMs <= 0) return this.#sendNews(false);
    this.#newsTimer = this.#options.clock.after(
      delayMs,
      () => this.#sendNews(false),
    );
  }

  #urgentWaits(): boolean {
    const heads = this.#options.queue.heads({ urgency: "urgent" });
    return heads.next().done !== true;
  }

  #heartbeat(): void {
    if (this.#stopped) return;
    this.#sendNews(true);
    this.#options.clock.after(NEWS_HEARTBEAT_MS, () => this.#heartbeat());
  }

  #sendNews(evenIfSame: boolean): void {
    const news = this.#news();
    const fingerprint = JSON.stringify([
      news.free,
      news.spare,
      laneCounts(news),
    ]);
    this.#announcer.sent(this.#options.clock.monotonic());
    if (!evenIfSame && fingerprint === this.#lastNews) return;
    this.#lastNews = fingerprint;
    const numbered = { ...news, sequence: ++this.#sequence };
    for (const peer of this.#options.members()) {
      this.#options.peers.notify(peer, loadReportNotice, numbered);
    }
  }

  #news(): LoadReport {
    const { clock, placement, pool, queue } = this.#options;
    const { free, capacity } = pool.totals();
    return {
      sequence: this.#sequence,
      free: this.#urgentWaits() ? zeroResources : free,
      spare: this.#spare(),
      largest: largestRoom(pool),
      capacity,
      backlog: queue.summary(clock.monotonic())
        .map((lane) => ({ ...lane, dueInMs: lane.dueInMs })),
      usage: Object.fromEntries(placement.usage()),
    };
  }

  /** Allowance in hand of the teams that have a limit. */
  #spare(): Record<string, number> {
    const { allowances, limitedTeams } = this.#options;
    const spare: Record<string, number> = {};
    for (const team of limitedTeams()) {
      const available = allowances.available(team);
      if (available > 0) spare[team] = available;
    }
    return spare;
  }
}

function laneCounts(news: LoadReport): string[] {
  return news.backlog.map((lane) =>
    `${lane.urgency} ${lane.team} ${lane.workload} ${lane.count}`
  );
}

/** The most that one worker has free in each dimension. */
function largestRoom(pool: WorkerPool): Resources {
  return [...pool.ids()]
    .filter((id) => pool.usable(id))
    .map((id) => pool.free(id) ?? zeroResources)
    .reduce(elementwiseMax, zeroResources);
}
