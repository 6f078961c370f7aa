/**
 * Workers as a process.
 *
 * @module
 */
import { Command, Option } from "commander";
import { announce, stopOnSignal, wholeNumber } from "../common/process.ts";
import { type FleetOptions, StandinFleet } from "./fleet.ts";
import { SHAPES } from "./service_time.ts";

interface Arguments
  extends Omit<FleetOptions, "zones" | "capacity" | "requestResources"> {
  readonly zones: string;
  readonly cpuMillis: number;
  readonly memoryMib: number;
  readonly accelerators: number;
  readonly slots: number;
  readonly requestCpuMillis: number;
  readonly requestMemoryMib: number;
}

const command = new Command("worker")
  .description("stand-in of the platform's workers")
  .option("--port <n>", "port of the controls", wholeNumber, 0)
  .option("--count <n>", "number of workers", wholeNumber, 1)
  .option("--port-base <n>", "port of the first worker", wholeNumber, 0)
  .option("--prefix <text>", "beginning of names", "worker-")
  .option("--zones <names>", "zones, separated by commas", "zone-1")
  .option("--rack-size <n>", "workers in a rack", wholeNumber, 8)
  .option("--cpu-millis <n>", "processors of each", wholeNumber, 64_000)
  .option("--memory-mib <n>", "memory of each", wholeNumber, 262_144)
  .option("--accelerators <n>", "accelerators of each", wholeNumber, 0)
  .option("--slots <n>", "slots of each", wholeNumber, 8)
  .option("--connections <n>", "connections of each", wholeNumber, 60)
  .option("--request-cpu-millis <n>", "taken by a request", wholeNumber, 0)
  .option("--request-memory-mib <n>", "taken by a request", wholeNumber, 0)
  .option("--latency-ms <n>", "one way", Number, 0)
  .option("--report-lag-ms <n>", "age of reports", wholeNumber, 0)
  .option("--service-ms <n>", "mean time of work", Number, 20)
  .option("--seed <n>", "seed of the times", wholeNumber, 1)
  .addOption(
    new Option("--shape <shape>", "distribution of the times")
      .choices(SHAPES)
      .default("fixed"),
  )
  .parse();

const given = command.opts<Arguments>();
const fleet = new StandinFleet({
  ...given,
  zones: given.zones.split(","),
  capacity: {
    cpuMillis: given.cpuMillis,
    memoryMib: given.memoryMib,
    accelerators: given.accelerators,
    slots: given.slots,
  },
  requestResources: {
    cpuMillis: given.requestCpuMillis,
    memoryMib: given.requestMemoryMib,
    accelerators: 0,
    slots: 1,
  },
});
await fleet.listen();
stopOnSignal(fleet);
announce({ address: fleet.address, workers: String(fleet.workers.length) });
