import { spawn } from "node:child_process";
import process from "node:process";
import test from "ava";
import { freePorts } from "./processes.ts";

/** Number of ports per process: large enough that unreserved random ports would collide. */
const PORTS_PER_PROCESS = 400;

/** Reserves ports in a child process that runs until `end` is called. */
function reservePortsInProcess(): Promise<{ ports: number[]; end(): void }> {
  const module = new URL("./processes.js", import.meta.url).href;
  const script = `
    const { freePorts } = await import(${JSON.stringify(module)});
    console.log(JSON.stringify(await freePorts(${PORTS_PER_PROCESS})));
    setInterval(() => {}, 1000);
  `;
  const child = spawn(process.execPath, ["--input-type=module", "-e", script], {
    stdio: ["ignore", "pipe", "inherit"],
  });
  return new Promise((resolve) => {
    let text = "";
    child.stdout.setEncoding("utf8").on("data", (part: string) => {
      text += part;
      if (!text.endsWith("\n")) return;
      resolve({ ports: JSON.parse(text), end: () => void child.kill() });
    });
  });
}

test("concurrent calls return different ports", async (t) => {
  await freePorts(1);
  const calls = Array.from({ length: 10 }, () => freePorts(20));
  const ports = (await Promise.all(calls)).flat();
  t.is(ports.length, 200);
  t.is(new Set(ports).size, 200);
});

test("testbeds beside each other are given different ports", async (t) => {
  const taken = await Promise.all([
    reservePortsInProcess(),
    reservePortsInProcess(),
  ]);
  for (const { end } of taken) end();
  const ports = taken.flatMap((one) => one.ports);
  t.is(new Set(ports).size, 2 * PORTS_PER_PROCESS);
});
