/**
 * Main script of the list stand-in.
 *
 * @module
 */
import { Command } from "commander";
import {
  closeOnSignal,
  parseInteger,
  printListeningLine,
} from "../common/process.ts";
import { type ListOptions, StandinList } from "./list.ts";

const command = new Command("list")
  .description("stand-in of the platform's list of instances")
  .option("--port <n>", "port of the list", parseInteger, 0)
  .option("--control-port <n>", "port of the controls", parseInteger, 0)
  .option("--lag-ms <n>", "age of what readers see", parseInteger, 0)
  .parse();

const list = new StandinList(command.opts<ListOptions>());
await list.listen();
closeOnSignal(list);
printListeningLine({ address: list.address, control: list.controlAddress });
