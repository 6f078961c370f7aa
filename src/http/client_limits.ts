/**
 * Divides the memory and the file descriptors of a process among what its
 * clients make it hold.
 *
 * @module
 */

/** What the clients of a process may make it hold. */
export interface ClientLimits {
  /** Total size of the bodies of requests, bytes. */
  readonly bodiesBytes: number;
  readonly connections: number;
  /** Requests that have been received and not been answered. */
  readonly requests: number;
}

/** Limits of a process as its platform sets them. */
export interface ProcessLimits {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

const BODIES_MEMORY_SHARE = 1 / 24;
const CONNECTIONS_MEMORY_SHARE = 1 / 8;
const REQUESTS_MEMORY_SHARE = 1 / 16;
/** Memory of a connection that has sent as many headers as it may, bytes. */
const CONNECTION_BYTES = 30 * 1024;
/** Memory of a request that waits for its answer, bytes. */
const REQUEST_BYTES = 16 * 1024;
/** The other descriptors are for workers, the store and other instances. */
const CONNECTIONS_DESCRIPTOR_SHARE = 1 / 2;

/** Derives the limits of clients from those of the process. */
export function clientLimitsOf(
  { memoryBytes, descriptors }: ProcessLimits,
): ClientLimits {
  return {
    bodiesBytes: Math.floor(memoryBytes * BODIES_MEMORY_SHARE),
    connections: Math.floor(Math.min(
      memoryBytes * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES,
      descriptors * CONNECTIONS_DESCRIPTOR_SHARE,
    )),
    requests: Math.floor(memoryBytes * REQUESTS_MEMORY_SHARE / REQUEST_BYTES),
  };
}
