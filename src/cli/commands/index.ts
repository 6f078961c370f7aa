/**
 * All commands of the tool.
 *
 * @module
 */
import type { ToolCommand } from "../tool.ts";
import { accountCommand } from "./account.ts";
import { checkCommand } from "./check.ts";
import { completionCommand } from "./completion.ts";
import { diffCommand } from "./diff.ts";
import { drainCommand } from "./drain.ts";
import { explainCommand } from "./explain.ts";
import { getCommand } from "./get.ts";
import { historyCommand } from "./history.ts";
import { initCommand } from "./init.ts";
import { keyIssueCommand } from "./key_issue.ts";
import { keyWithdrawCommand } from "./key_withdraw.ts";
import { publishCommand } from "./publish.ts";
import { requestCommand } from "./request.ts";
import { statusCommand } from "./status.ts";
import { submitCommand } from "./submit.ts";
import { undrainCommand } from "./undrain.ts";
import { workCancelCommand } from "./work_cancel.ts";
import { workListCommand } from "./work_list.ts";
import { workResumeCommand } from "./work_resume.ts";
import { workShowCommand } from "./work_show.ts";
import { workersCommand } from "./workers.ts";

const mainCommands: readonly ToolCommand[] = [
  initCommand,
  checkCommand,
  diffCommand,
  publishCommand,
  getCommand,
  historyCommand,
  keyIssueCommand,
  keyWithdrawCommand,
  drainCommand,
  undrainCommand,
  submitCommand,
  requestCommand,
  workShowCommand,
  workListCommand,
  workCancelCommand,
  workResumeCommand,
  statusCommand,
  workersCommand,
  explainCommand,
  accountCommand,
];

/** All commands, in the order of the help. */
export const commands: readonly ToolCommand[] = [
  ...mainCommands,
  completionCommand(mainCommands.map(({ name }) => name)),
];
