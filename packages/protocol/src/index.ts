/** The inner protocol between entries and agents. */
export {};
