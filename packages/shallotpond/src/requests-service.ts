/**
 * Answers whether a request may be tried again. Idempotency keys are refused until their registry
 * is connected, because accepting one without remembering it would be a false promise.
 */
import {type Service} from '@shallotpond/kernel/kernel';
import {
	type IdempotencyClaim,
	type IdempotencyRequest,
	type Refusal,
} from '@shallotpond/io-http/request-policy';

export type RequestsService = Service & {
	claim(request: IdempotencyRequest): Promise<IdempotencyClaim | Refusal>;
	check(fingerprint: string, deadline: number): Promise<Refusal | undefined>;
	reportCrash(fingerprint: string, target: string): void;
	countRequest(): void;
	takeRetry(): boolean;
	handOver(): void;
};

export function createRequestsService(): RequestsService {
	return {
		async claim() {
			return {
				kind: 'refused',
				code: 'idempotency-unsupported',
				status: 501,
				detail: 'idempotency keys are not supported yet',
				runState: 'not-run',
			};
		},
		async check() {
			return undefined;
		},
		reportCrash: () => undefined,
		countRequest: () => undefined,
		takeRetry: () => false,
		handOver: () => undefined,
	};
}
