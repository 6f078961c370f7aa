/**
 * Which instances should hold the cell.
 *
 * @module
 */
import type { Member } from "./cell_record.ts";

/** A machine is weak beside one of so many times its power. */
const WEAK_FACTOR = 2;

/** Candidates that watch the holder: enough for a majority where some are lost with it, few enough to be told often. */
const WATCHERS = 8;

/** The first candidates watch the holder: it tells them more often than others, and they ask each other when they miss it. */
export function watchersOf(ranked: readonly string[]): readonly string[] {
  return ranked.slice(0, WATCHERS);
}

/** What the order of candidates depends on. */
export interface Candidacy {
  /** This instance, if it is a candidate itself. */
  readonly self: Member | undefined;
  /** The last holder, which is none. */
  readonly holder: string | undefined;
  readonly fence: number;
}

/**
 * Candidates in the order in which they try: the strong machines first, as
 * the holder does the work of all; among equals it changes with each holder.
 */
export function rankCandidates(
  members: readonly Member[],
  { self, holder, fence }: Candidacy,
): readonly string[] {
  const others = members.filter((member) => member.name !== self?.name);
  const all = self === undefined ? others : [self, ...others];
  const candidates = all
    .filter((member) => member.name !== holder)
    .sort((a, b) => a.name < b.name ? -1 : 1);
  const turn = fence % Math.max(1, candidates.length);
  return [...candidates.slice(turn), ...candidates.slice(0, turn)]
    .sort((a, b) => b.cores - a.cores)
    .map((member) => member.name);
}

/** Members on machines so much stronger that they should hold the cell in place of `self`. */
export function strongerThan(
  self: Member,
  members: readonly Member[],
): readonly string[] {
  return members
    .filter((member) => member.cores >= WEAK_FACTOR * self.cores)
    .map((member) => member.name);
}

/**
 * The order in which a leaving holder asks candidates: among machines of equal
 * power the last started first. Where machines are stopped one after the other,
 * those that are back stay.
 */
export function successorsOf(
  ranked: readonly string[],
  members: readonly Member[],
): readonly string[] {
  const byName = new Map(members.map((member) => [member.name, member]));
  const known = ranked.flatMap((name) => byName.get(name) ?? []);
  return known
    .sort((a, b) =>
      b.cores - a.cores || (b.startedMs ?? 0) - (a.startedMs ?? 0)
    )
    .map(({ name }) => name);
}
