/** Whether a deployment calls for the parts that adapt to scarce room and uneven servers. */

/**
 * Says whether room is shared by account, servers are chosen by their speed and cached prompts are
 * weighed against waits. A deployment calls for it by the terms in its settings, or because one of its
 * servers reported how fast it is. Others are served without these parts.
 *
 * @example
 * const adaptiveLoad = new AdaptiveLoad(() => settings.terms.includes('scarce-room'));
 * adaptiveLoad.isOn; // false
 * adaptiveLoad.recordSpeedReport();
 * adaptiveLoad.isOn; // true
 */
export class AdaptiveLoad {
  readonly #isRequired: () => boolean;
  #hasSpeedReports = false;

  /** @param isRequired whether the settings in force call for it. */
  constructor(isRequired: () => boolean) {
    this.#isRequired = isRequired;
  }

  /** Whether the parts that adapt to hard load act. */
  get isOn(): boolean {
    return this.#hasSpeedReports || this.#isRequired();
  }

  /** Records that a server reported how fast it is. */
  recordSpeedReport(): void {
    this.#hasSpeedReports = true;
  }
}
