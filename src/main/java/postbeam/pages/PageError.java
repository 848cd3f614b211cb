package postbeam.pages;

import postbeam.errors.Explained;
import postbeam.errors.ExplainedException;

/** What can go wrong with pages. */
public sealed interface PageError extends Explained {
    /** Ready to be thrown. */
    default ExplainedException thrown() {
        return new ExplainedException(this);
    }

    /** The cursor is not as any router made it. */
    record Altered() implements PageError {
        @Override
        public String happened() {
            return "the cursor is not as it was given";
        }

        @Override
        public String advice() {
            return "see whether the client keeps cursors whole, and begin with the first page";
        }
    }

    record UnknownForm(int form) implements PageError {
        @Override
        public String happened() {
            return "the cursor is of form " + form + ", which this router does not read";
        }

        @Override
        public String advice() {
            return "bring all routers to one version of the program";
        }
    }

    record UnknownKey(String fingerprint) implements PageError {
        @Override
        public String happened() {
            return "the cursor is signed with key "
                    + fingerprint
                    + ", which this router does not hold";
        }

        @Override
        public String advice() {
            return "give all routers the same pages.key, and the one before as pages.oldKey while"
                    + " its cursors last";
        }
    }

    record OfAnotherQuery() implements PageError {
        @Override
        public String happened() {
            return "the cursor is of another query";
        }

        @Override
        public String advice() {
            return "have the client send vertical, owner, predicate and order as with the first"
                    + " page";
        }
    }

    record TooOld(long layout, long oldest) implements PageError {
        @Override
        public String happened() {
            return "the cursor is of layout "
                    + layout
                    + ", and "
                    + oldest
                    + " is the oldest that is kept";
        }

        @Override
        public String advice() {
            return "begin with the first page, or raise layouts.serve.history if clients rest that"
                    + " long between pages";
        }
    }

    record Ahead(long layout, long held) implements PageError {
        @Override
        public String happened() {
            return "the cursor is of layout " + layout + ", and this router holds " + held;
        }

        @Override
        public String advice() {
            return "ask again; if it stays, see why this router does not hear the layout service";
        }
    }

    /** A data node's answer that is not merged. */
    record Spoilt(String part, String problem) implements PageError {
        @Override
        public String happened() {
            return "the rows of part " + part + " are spoilt: " + problem;
        }

        @Override
        public String advice() {
            return "see whether that data node sorts by the order it is asked for and its copy is"
                    + " sound";
        }
    }

    record TooMuchOwed(int ranges, int marks) implements PageError {
        @Override
        public String happened() {
            return "the cursor would hold " + ranges + " ranges at " + marks + " marks";
        }

        @Override
        public String advice() {
            return "ask again with the last cursor once the missing ranges are back, or for fewer"
                    + " ranges";
        }
    }

    record NotRepeatable(String vertical) implements PageError {
        @Override
        public String happened() {
            return "vertical "
                    + vertical
                    + " is not repeatable, and its parts can't be asked for pages";
        }

        @Override
        public String advice() {
            return "ask for pages of repeatable verticals only";
        }
    }

    record BadRequest(String member, String problem) implements PageError {
        @Override
        public String happened() {
            return member + " can't be used: " + problem;
        }

        @Override
        public String advice() {
            return "docs/operators/ordered-pages.md has the form";
        }
    }

    record BadKey(String setting) implements PageError {
        @Override
        public String happened() {
            return setting + " is not 64 hex digits";
        }

        @Override
        public String advice() {
            return "make one with: openssl rand -hex 32";
        }
    }
}
