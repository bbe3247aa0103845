/** Limit on retries as a part of all requests, so that retries never multiply an overload. */

/** Tuning of a budget. */
export interface RetryBudgetSettings {
  /** Retries earned by each first attempt. @default 0.2 */
  ratio: number;
  /** Most retries that can be saved up. @default 20 */
  max: number;
}

/** Retries that may be made now. */
export interface RetryBudget {
  settings: RetryBudgetSettings;
  tokens: number;
}

const defaultSettings: RetryBudgetSettings = { ratio: 0.2, max: 20 };

/**
 * A full budget.
 *
 * @example
 * let budget = createRetryBudget();
 * budget = earnRetry(budget);
 * const spent = spendRetry(budget);
 * if (spent) budget = spent;
 */
export function createRetryBudget(settings: Partial<RetryBudgetSettings> = {}): RetryBudget {
  const all = { ...defaultSettings, ...settings };
  return { settings: all, tokens: all.max };
}

/** Takes in a first attempt. */
export function earnRetry(budget: RetryBudget): RetryBudget {
  const { ratio, max } = budget.settings;
  return { ...budget, tokens: Math.min(max, budget.tokens + ratio) };
}

/** Takes one retry out; `undefined` when none is left and the request has to be refused. */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
  return budget.tokens < 1 ? undefined : { ...budget, tokens: budget.tokens - 1 };
}
