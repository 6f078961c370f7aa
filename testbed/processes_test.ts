import { spawn } from "node:child_process";
import process from "node:process";
import test from "ava";
import { freePorts } from "./processes.ts";

/** Ports that each process takes: enough to meet another's by chance. */
const COUNT = 400;

/** Takes ports in a process that stays until it is told to end. */
function portsOfProcess(): Promise<{ ports: number[]; end(): void }> {
  const module = new URL("./processes.js", import.meta.url).href;
  const script = `
    const { freePorts } = await import(${JSON.stringify(module)});
    console.log(JSON.stringify(await freePorts(${COUNT})));
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

test("calls beside each other are given different ports", async (t) => {
  await freePorts(1);
  const calls = Array.from({ length: 10 }, () => freePorts(20));
  const ports = (await Promise.all(calls)).flat();
  t.is(ports.length, 200);
  t.is(new Set(ports).size, 200);
});

test("testbeds beside each other are given different ports", async (t) => {
  const taken = await Promise.all([portsOfProcess(), portsOfProcess()]);
  for (const { end } of taken) end();
  const ports = taken.flatMap((one) => one.ports);
  t.is(new Set(ports).size, 2 * COUNT);
});
