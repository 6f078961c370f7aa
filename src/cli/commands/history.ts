/**
 * `history`: lists the publications that the store keeps.
 *
 * @module
 */
import { readHistory } from "../../configuration/publication.ts";
import { reportValue } from "../report.ts";
import { openStore, type ToolCommand } from "../tool.ts";

/** Lists publications, the newest first. */
export const historyCommand: ToolCommand = {
  name: "history",
  summary: "list the publications that are kept",
  example: "zinniapoint history",
  run(tool) {
    return openStore(tool)
      .andThen(({ store }) => readHistory(store))
      .map((heads) =>
        heads.toReversed().map(({ number, at, operator, publishId }) => ({
          number,
          at,
          operator,
          publishId,
        }))
      )
      .map(reportValue);
  },
};
