package postbeam.pages;

import postbeam.errors.OperatorError;

/** Why a page, or a cursor, can't be given. */
public sealed interface PageError extends OperatorError {
    /** The text is no cursor that a router made. */
    record InvalidCursor() implements PageError {
        @Override
        public String problem() {
            return "the cursor is not as it was given";
        }

        @Override
        public String remedy() {
            return "see whether the client keeps cursors whole, and begin with the first page";
        }
    }

    /** A cursor of another version of the format. */
    record UnsupportedCursorFormat(int format) implements PageError {
        @Override
        public String problem() {
            return "the cursor is of form " + format + ", which this router does not read";
        }

        @Override
        public String remedy() {
            return "bring all routers to one version of the program";
        }
    }

    /** A cursor that is signed with a key that this router does not have. */
    record UnknownSigningKey(String fingerprint) implements PageError {
        @Override
        public String problem() {
            return "the cursor is signed with key "
                    + fingerprint
                    + ", which this router does not hold";
        }

        @Override
        public String remedy() {
            return "give all routers the same pages.key, and the one before as pages.oldKey while"
                    + " its cursors last";
        }
    }

    /** A cursor of another query. */
    record QueryMismatch() implements PageError {
        @Override
        public String problem() {
            return "the cursor is of another query";
        }

        @Override
        public String remedy() {
            return "have the client send vertical, owner, predicate and order as with the first"
                    + " page";
        }
    }

    /** A cursor of a layout that is too old. */
    record LayoutNoLongerKept(long layoutVersion, long oldestVersion) implements PageError {
        @Override
        public String problem() {
            return "the cursor is of layout "
                    + layoutVersion
                    + ", and "
                    + oldestVersion
                    + " is the oldest that is kept";
        }

        @Override
        public String remedy() {
            return "begin with the first page, or raise layouts.serve.history if clients rest that"
                    + " long between pages";
        }
    }

    /** A cursor of a layout that this router does not have yet. */
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
            return "ask again; if it stays, see why this router does not hear the layout service";
        }
    }

    /** A data node's answer that can't be merged. */
    record InvalidRows(String part, String reason) implements PageError {
        @Override
        public String problem() {
            return "the rows of part " + part + " are spoilt: " + reason;
        }

        @Override
        public String remedy() {
            return "see whether that data node sorts by the order it is asked for and its copy is"
                    + " sound";
        }
    }

    /** A cursor that would not be bounded. */
    record CursorTooLarge(int ranges, int positions) implements PageError {
        @Override
        public String problem() {
            return "the cursor would hold " + ranges + " ranges at " + positions + " marks";
        }

        @Override
        public String remedy() {
            return "ask again with the last cursor once the missing ranges are back, or for fewer"
                    + " ranges";
        }
    }

    /** A page of a query class whose calls can't be repeated. */
    record NotIdempotent(String vertical) implements PageError {
        @Override
        public String problem() {
            return "vertical "
                    + vertical
                    + " is not repeatable, and its parts can't be asked for pages";
        }

        @Override
        public String remedy() {
            return "ask for pages of repeatable verticals only";
        }
    }

    /** A member of a client's request that can't be used. */
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

    /** A signing key in the settings that is none. */
    record InvalidSigningKey(String setting) implements PageError {
        @Override
        public String problem() {
            return setting + " is not 64 hex digits";
        }

        @Override
        public String remedy() {
            return "make one with: openssl rand -hex 32";
        }
    }
}
