/**
 * Ranking of the instances that may become leader of the cell.
 *
 * @module
 */
import type { Member } from "./leader_record.ts";

/** A machine is stronger than another if it has at least this many times its cores. */
const STRONGER_FACTOR = 2;

/** Number of candidates that watch the leader: enough for a majority when several fail together with the leader, few enough for frequent heartbeats. */
const MAX_WATCHERS = 8;

/**
 * Selects the watchers of the leader, the first of the ranked candidates. They
 * receive heartbeats more often than other members, and when these stop they
 * ask each other whether the leader has failed.
 */
export function selectWatchers(ranked: readonly string[]): readonly string[] {
  return ranked.slice(0, MAX_WATCHERS);
}

/** Inputs of {@linkcode rankCandidates} besides the members. */
export interface RankingOptions {
  /** This instance, if it is a candidate itself. */
  readonly self: Member | undefined;
  /** Name of the last leader, which is not a candidate. */
  readonly leader: string | undefined;
  /** Fence of the last leader. */
  readonly fence: number;
}

/**
 * Names of the candidates in the order of their attempts to become leader.
 * Machines with more cores are first, because the leader does the scheduling
 * for the whole cell; the order of equal machines changes with each fence.
 */
export function rankCandidates(
  members: readonly Member[],
  { self, leader, fence }: RankingOptions,
): readonly string[] {
  const others = members.filter((member) => member.name !== self?.name);
  const all = self === undefined ? others : [self, ...others];
  const candidates = all
    .filter((member) => member.name !== leader)
    .sort((a, b) => a.name < b.name ? -1 : 1);
  const offset = fence % Math.max(1, candidates.length);
  return [...candidates.slice(offset), ...candidates.slice(0, offset)]
    .sort((a, b) => b.cores - a.cores)
    .map((member) => member.name);
}

/** Names of the members on machines strong enough to lead in place of `self`. */
export function strongerMembers(
  self: Member,
  members: readonly Member[],
): readonly string[] {
  return members
    .filter((member) => member.cores >= STRONGER_FACTOR * self.cores)
    .map((member) => member.name);
}

/**
 * Orders candidates as an exiting leader asks them: most cores first, among
 * equal machines the last started first. In a rolling restart leadership thus
 * moves to an instance that has already been restarted.
 */
export function orderSuccessors(
  ranked: readonly string[],
  members: readonly Member[],
): readonly string[] {
  const byName = new Map(members.map((member) => [member.name, member]));
  const candidates = ranked.flatMap((name) => byName.get(name) ?? []);
  return candidates
    .sort((a, b) =>
      b.cores - a.cores || (b.startedMs ?? 0) - (a.startedMs ?? 0)
    )
    .map(({ name }) => name);
}
