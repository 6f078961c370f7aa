/**
 * What became of a transaction, by the store's answer.
 *
 * @module
 */
import type { Commit, Entry } from "../ports/store.ts";
import { laneRecordOf } from "./lane_record.ts";
import type { Batch, Lane } from "./write_lane.ts";

/** What became of a transaction. */
export type Fate =
  | { readonly type: "written"; readonly revision: number }
  /** It was certainly not carried out. */
  | { readonly type: "untouched" }
  /** Another holder has written one of its lanes. */
  | { readonly type: "deposed" };

/** Reads the fate of a group's transaction from the answer to its last sending. */
export function fateOf(
  commit: Commit,
  group: readonly Batch[],
  fence: number,
): Fate {
  if (commit.type === "committed") {
    return { type: "written", revision: commit.revision };
  }
  // An earlier sending got through and its answer was lost: then every lane shows it.
  const shown = group.map(({ lane }) =>
    commit.entries?.find((entry) => isWrittenBy(entry, lane, fence))
  );
  const [first] = shown;
  return first !== undefined && shown.every((entry) => entry !== undefined)
    ? { type: "written", revision: first.revision }
    : { type: "deposed" };
}

/** Whether an entry is what the transaction under way writes to a lane. */
function isWrittenBy(entry: Entry, lane: Lane, fence: number): boolean {
  const record = entry.key === lane.key ? laneRecordOf(entry) : undefined;
  return record?.fence === fence && record.sequence === lane.sequence + 1;
}
