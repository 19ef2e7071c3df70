/**
 * Resets a connection when its process ends. The kernel closes the connections of a process that is
 * killed in order, and a peer takes this for the end of a body without a declared length.
 */
import type { Socket } from "node:net";
import process from "node:process";

/** Level and name of the option in Linux; `struct linger` holds two 32-bit integers. */
const SOL_SOCKET = 1;
const SO_LINGER = 13;
const LINGER_BYTES = 8;

/** The C library's `setsockopt`, which returns 0 on success. */
type SetSocketOption = (
  fd: number,
  level: number,
  name: number,
  value: Buffer,
  sizeBytes: number,
) => number;

/** A connection that the kernel resets if the process ends. */
export class ExitReset {
  readonly #socket: Socket;
  readonly #setOption: SetSocketOption;

  private constructor(socket: Socket, setOption: SetSocketOption) {
    this.#socket = socket;
    this.#setOption = setOption;
  }

  /**
   * @param socket An open connection.
   * @returns Its protection; undefined if it is closed already, or can't be protected here.
   */
  static async create(socket: Socket): Promise<ExitReset | undefined> {
    setsockopt ??= loadSetsockopt();
    const setOption = await setsockopt;
    if (!setOption) return undefined;
    const made = new ExitReset(socket, setOption);
    return made.#setLinger(true) ? made : undefined;
  }

  /** Closes the connection in order again; call it once all data is written, before the end. */
  release(): void {
    this.#setLinger(false);
  }

  /** With a linger time of 0, closing the last descriptor resets the connection. */
  #setLinger(isEnabled: boolean): boolean {
    const fd = descriptorOf(this.#socket);
    if (fd === undefined) return false;
    const linger = Buffer.alloc(LINGER_BYTES);
    new Int32Array(linger.buffer, linger.byteOffset, 2)[0] = Number(isEnabled);
    const status = this.#setOption(
      fd,
      SOL_SOCKET,
      SO_LINGER,
      linger,
      LINGER_BYTES,
    );
    if (status !== 0) warn("setsockopt failed");
    return status === 0;
  }
}

/** Node has no call for the option. Loaded on first use, as it takes 3 MB. */
let setsockopt: Promise<SetSocketOption | undefined> | undefined;

async function loadSetsockopt(): Promise<SetSocketOption | undefined> {
  if (process.platform !== "linux") return warn("the platform is not Linux");
  try {
    const { default: koffi } = await import("koffi");
    return koffi.load(null).func(
      "int setsockopt(int fd, int level, int name, const void *value, uint32_t sizeBytes)",
    ) as unknown as SetSocketOption;
  } catch (error) {
    return warn(error instanceof Error ? error.message : String(error));
  }
}

function warn(reason: string): undefined {
  process.emitWarning(
    `Connections are closed in order if the process is killed: ${reason}`,
    "ExitResetWarning",
  );
}

/** Node has no public access to the descriptor of a connection. */
function descriptorOf(socket: Socket): number | undefined {
  const { _handle: handle } = socket as Socket & {
    _handle?: { fd?: number } | null;
  };
  const fd = handle?.fd ?? -1;
  return fd >= 0 ? fd : undefined;
}
