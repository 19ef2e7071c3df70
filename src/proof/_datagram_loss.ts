/** Loss of the datagrams between an entry's process and the other entries, for tests. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Variable that names the file during whose existence the preloaded process loses datagrams. */
export const LOSS_FILE_VARIABLE = "CICADAHITCH_TEST_LOSS_FILE";
/** File below `src` without its extension that the process has to preload. */
export const LOSS_PRELOAD = "proof/_lost_datagrams";

/** Switches the loss on and off. It outlasts a restart and a suspension of the process. */
export class DatagramLoss {
  /** Value of {@link LOSS_FILE_VARIABLE}. */
  readonly path: string;
  readonly #directory: string;

  private constructor(directory: string) {
    this.#directory = directory;
    this.path = join(directory, "lost");
  }

  /** @returns A switch that is off. */
  static create(): DatagramLoss {
    return new DatagramLoss(mkdtempSync(join(tmpdir(), "datagrams-")));
  }

  /** Loses datagrams from now on. */
  begin(): void {
    writeFileSync(this.path, "");
  }

  /** Lets datagrams pass again. */
  end(): void {
    rmSync(this.path, { force: true });
  }

  /** Removes the switch. */
  close(): void {
    rmSync(this.#directory, { recursive: true, force: true });
  }
}
