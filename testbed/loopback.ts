/**
 * Loopback address that is specific to this process. With a shared address, a
 * caller of a terminated daemon could reach another process on the same port.
 *
 * @module
 */
import process from "node:process";

const FIRST_NETWORK = 64;
const NETWORKS = 128;

/** Loopback IP address derived from the process id. */
export const LOOPBACK = [
  127,
  FIRST_NETWORK + (process.pid >> 16) % NETWORKS,
  (process.pid >> 8) & 0xff,
  process.pid & 0xff,
].join(".");
