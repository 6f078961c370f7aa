/**
 * Main script of the key-value stand-in.
 *
 * @module
 */
import { Command } from "commander";
import {
  closeOnSignal,
  parseInteger,
  printListeningLine,
} from "../common/process.ts";
import { StandinStore, type StoreOptions } from "./store.ts";

const command = new Command("store")
  .description("stand-in of the platform's key-value service")
  .option("--port <n>", "port of the service", parseInteger, 0)
  .option("--control-port <n>", "port of the controls", parseInteger, 0)
  .option("--writes-per-second <n>", "rate limit of writes", parseInteger)
  .option("--reads-per-second <n>", "rate limit of reads", parseInteger)
  .option("--max-value-bytes <n>", "largest value", parseInteger)
  .option("--latency-ms <n>", "latency of a call", parseInteger)
  .option(
    "--progress-ms <n>",
    "interval of watch progress messages",
    parseInteger,
  )
  .parse();

const store = new StandinStore(command.opts<StoreOptions>());
await store.listen();
closeOnSignal(store);
printListeningLine({ address: store.address, control: store.controlAddress });
