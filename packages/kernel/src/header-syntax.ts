/**
 * Checks the syntax of header names and values. Parsers differ in what they pass on: that of Node
 * 20.19 accepts `X : a` and an empty name. A recipient that reads such a line differently could see
 * other framing or other headers than this proxy, so the verdict must not depend on the parser.
 */

/** A token of RFC 9110, section 5.6.2. */
const tokenPattern = /^[\w!#$%&'*+\-.^`|~]+$/;
/** Field content of RFC 9110, section 5.5: visible characters, space, tab and obs-text. */
const valuePattern = /^[\t -~\u0080-\u00FF]*$/;
const nonTokenCharacters = /[^\w!#$%&'*+\-.^`|~]/g;
const framingNames: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

export type HeaderSyntax =
	| 'valid'
	| 'malformed'
	/** A malformed name that a lenient recipient could read as a header that frames the body. */
	| 'ambiguous-framing';

function isAlmostFraming(name: string): boolean {
	return framingNames.has(name.replaceAll(nonTokenCharacters, '').toLowerCase());
}

/** Checks alternating names and values. Linear in their total length. */
export function checkHeaderSyntax(rawHeaders: readonly string[]): HeaderSyntax {
	let syntax: HeaderSyntax = 'valid';
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const name = rawHeaders[index]!;
		if (!tokenPattern.test(name)) {
			if (isAlmostFraming(name)) {
				return 'ambiguous-framing';
			}

			syntax = 'malformed';
		} else if (!valuePattern.test(rawHeaders[index + 1]!)) {
			syntax = 'malformed';
		}
	}

	return syntax;
}
