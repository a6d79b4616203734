/** Launcher, fault schedules, histories and checkers. */
export {};
