package postbeam.pages;

import postbeam.errors.OperatorError;

/** A reason why a page or a cursor can't be produced. */
public sealed interface PageError extends OperatorError {
    /** The text is not an unaltered cursor of a router. */
    record InvalidCursor() implements PageError {
        @Override
        public String problem() {
            return "the cursor is not as it was given";
        }

        @Override
        public String remedy() {
            return "check that the client sends cursors back unchanged, and start again from the"
                    + " first page";
        }
    }

    /** The cursor has a format version that this router does not support. */
    record UnsupportedCursorFormat(int formatVersion) implements PageError {
        @Override
        public String problem() {
            return "the cursor is of form " + formatVersion + ", which this router does not read";
        }

        @Override
        public String remedy() {
            return "run the same version of the program on all routers";
        }
    }

    /** The cursor is signed with a key that this router does not have. */
    record UnknownSigningKey(String fingerprint) implements PageError {
        @Override
        public String problem() {
            return "the cursor is signed with key "
                    + fingerprint
                    + ", which this router does not hold";
        }

        @Override
        public String remedy() {
            return "set the same pages.key on all routers, and keep the previous key as"
                    + " pages.oldKey while cursors signed with it are in use";
        }
    }

    /** The cursor belongs to another query. */
    record QueryMismatch() implements PageError {
        @Override
        public String problem() {
            return "the cursor is of another query";
        }

        @Override
        public String remedy() {
            return "the client must send the same vertical, owner, predicate and order as for the"
                    + " first page";
        }
    }

    /** The cursor's layout is older than the oldest layout whose slices are known. */
    record LayoutNoLongerKept(long layoutVersion, long oldestVersion) implements PageError {
        @Override
        public String problem() {
            return "the cursor is of layout "
                    + layoutVersion
                    + ", but the oldest layout that is kept is "
                    + oldestVersion;
        }

        @Override
        public String remedy() {
            return "start again from the first page, or raise layouts.serve.history if clients"
                    + " pause that long between pages";
        }
    }

    /** The cursor's layout is newer than the current layout of this router. */
    record LayoutNotYetKnown(long layoutVersion, long currentVersion) implements PageError {
        @Override
        public String problem() {
            return "the cursor is of layout "
                    + layoutVersion
                    + ", and this router holds "
                    + currentVersion;
        }

        @Override
        public String remedy() {
            return "retry; if the error persists, check why this router gets no updates from the"
                    + " layout service";
        }
    }

    /** A data node's answer is invalid, see {@link PartialPage#findProblem}. */
    record InvalidRows(String attemptId, String reason) implements PageError {
        @Override
        public String problem() {
            return "the rows of part " + attemptId + " are spoilt: " + reason;
        }

        @Override
        public String remedy() {
            return "check that the data node sorts by the requested order and that its copy is"
                    + " intact";
        }
    }

    /** The cursor would have more ranges or positions than a cursor may have. */
    record CursorTooLarge(int ranges, int positions) implements PageError {
        @Override
        public String problem() {
            return "the cursor would hold "
                    + ranges
                    + " ranges (limit "
                    + PageAssembler.MAX_RANGES
                    + ") at "
                    + positions
                    + " positions (limit "
                    + PageAssembler.MAX_POSITIONS
                    + ")";
        }

        @Override
        public String remedy() {
            return "retry with the previous cursor when the missing ranges answer again, or query"
                    + " fewer ranges";
        }
    }

    /** The vertical's shard requests must not be repeated, so it can't be paged. */
    record NotIdempotent(String vertical) implements PageError {
        @Override
        public String problem() {
            return "vertical "
                    + vertical
                    + " is not repeatable, but pages need repeatable shard requests";
        }

        @Override
        public String remedy() {
            return "request pages of repeatable verticals only";
        }
    }

    /** A member of a client's request is invalid. */
    record InvalidRequestMember(String member, String reason) implements PageError {
        @Override
        public String problem() {
            return member + " can't be used: " + reason;
        }

        @Override
        public String remedy() {
            return "docs/operators/ordered-pages.md has the form";
        }
    }

    /** A signing key in the settings is malformed. */
    record InvalidSigningKey(String setting) implements PageError {
        @Override
        public String problem() {
            return setting + " is not 64 hex digits";
        }

        @Override
        public String remedy() {
            return "generate one with: openssl rand -hex 32";
        }
    }
}
