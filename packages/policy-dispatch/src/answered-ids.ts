/**
 * Ids that were dealt with, each kept for a fixed time with the answer that was given, so that a
 * repeated or late message gets the same answer or none.
 */
export type AnsweredIds<Answer> = {
	add(id: string, answer: Answer, now: number): void;
	has(id: string, now: number): boolean;
	get(id: string, now: number): Answer | undefined;
};

/** `retention` in milliseconds. Operations cost O(1), with the cost of expiry spread over them. */
export function createAnsweredIds<Answer>(retention: number): AnsweredIds<Answer> {
	const answers = new Map<string, {readonly answer: Answer; readonly until: number}>();

	function prune(now: number): void {
		for (const [id, {until}] of answers) {
			if (until > now) {
				break;
			}

			answers.delete(id);
		}
	}

	return {
		add(id, answer, now) {
			prune(now);
			answers.delete(id);
			answers.set(id, {answer, until: now + retention});
		},
		has(id, now) {
			prune(now);
			return answers.has(id);
		},
		get(id, now) {
			prune(now);
			return answers.get(id)?.answer;
		},
	};
}
