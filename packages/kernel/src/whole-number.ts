/** Whether the value is a whole number from 0 up that is exact in arithmetic, such as a revision. */
export function isWholeNumber(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 0;
}
