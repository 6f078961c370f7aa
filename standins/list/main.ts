/**
 * The lagging list as a process.
 *
 * @module
 */
import { Command } from "commander";
import { announce, stopOnSignal, wholeNumber } from "../common/process.ts";
import { type ListOptions, StandinList } from "./list.ts";

const command = new Command("list")
  .description("stand-in of the platform's list of instances")
  .option("--port <n>", "port of the list", wholeNumber, 0)
  .option("--control-port <n>", "port of the controls", wholeNumber, 0)
  .option("--lag-ms <n>", "age of what readers see", wholeNumber, 0)
  .parse();

const list = new StandinList(command.opts<ListOptions>());
await list.listen();
stopOnSignal(list);
announce({ address: list.address, control: list.controlAddress });
