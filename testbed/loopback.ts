/**
 * An address of the loopback network for each process, so that callers of a
 * daemon that was ended never reach another process on the same port.
 *
 * @module
 */
import process from "node:process";

const FIRST_NETWORK = 64;
const NETWORKS = 128;

/** IP number that only this process listens on. */
export const LOOPBACK = [
  127,
  FIRST_NETWORK + (process.pid >> 16) % NETWORKS,
  (process.pid >> 8) & 0xff,
  process.pid & 0xff,
].join(".");
