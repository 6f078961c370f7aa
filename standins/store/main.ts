/**
 * The key-value service as a process.
 *
 * @module
 */
import { Command } from "commander";
import { announce, stopOnSignal, wholeNumber } from "../common/process.ts";
import { StandinStore, type StoreOptions } from "./store.ts";

const command = new Command("store")
  .description("stand-in of the platform's key-value service")
  .option("--port <n>", "port of the service", wholeNumber, 0)
  .option("--control-port <n>", "port of the controls", wholeNumber, 0)
  .option("--writes-per-second <n>", "budget of writes", wholeNumber)
  .option("--reads-per-second <n>", "budget of reads", wholeNumber)
  .option("--max-value-bytes <n>", "largest value", wholeNumber)
  .option("--latency-ms <n>", "time that a call takes", wholeNumber)
  .option("--progress-ms <n>", "time between watch messages", wholeNumber)
  .parse();

const store = new StandinStore(command.opts<StoreOptions>());
await store.listen();
stopOnSignal(store);
announce({ address: store.address, control: store.controlAddress });
