package org.heathercourse.testing.hosted;

import java.util.SplittableRandom;
import org.heathercourse.testing.hosted.SecondAnswers.Run;

/** What a target writes when it answers a request for the second time. */
public enum SecondAnswer {
    /** A success with the id and the signature of the request, and a body of two bytes. */
    WHOLE {
        @Override
        String text(Run run, SplittableRandom random) {
            return STATUS_LINE + run.signatureLine() + run.idLine() + END_OF_HEAD + BODY;
        }
    },
    /** The same success without the id. */
    WITHOUT_ID {
        @Override
        String text(Run run, SplittableRandom random) {
            return STATUS_LINE + run.signatureLine() + END_OF_HEAD + BODY;
        }
    },
    /** The true answer once more. */
    REPEATED {
        @Override
        String text(Run run, SplittableRandom random) {
            return run.text();
        }
    },
    /** A success that ends within its head, in half of the cases within its first line. */
    CUT {
        @Override
        String text(Run run, SplittableRandom random) {
            String head = STATUS_LINE + run.signatureLine() + run.idLine() + END_OF_HEAD;
            int maxBytes = random.nextBoolean() ? STATUS_LINE.length() : head.length();
            return head.substring(0, random.nextInt(1, maxBytes));
        }
    },
    /** A success that says nothing of the length of its body. */
    WITHOUT_LENGTH {
        @Override
        String text(Run run, SplittableRandom random) {
            return STATUS_LINE + run.signatureLine() + run.idLine() + "\r\n" + BODY;
        }
    },
    /** Several copies at once, each a success or the true answer. */
    SEVERAL {
        @Override
        String text(Run run, SplittableRandom random) {
            StringBuilder copies = new StringBuilder();
            int count = random.nextInt(2, MAX_COPIES + 1);
            for (int i = 0; i < count; i++) {
                SecondAnswer copy = random.nextBoolean() ? WHOLE : REPEATED;
                copies.append(copy.text(run, random));
            }
            return copies.toString();
        }
    };

    private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
    private static final String END_OF_HEAD = "Content-Length: 2\r\n\r\n";
    private static final String BODY = "ok";
    private static final int MAX_COPIES = 4;

    /**
     * Returns the bytes of the second answer, one for each character.
     *
     * @param run the run whose answer is written for the second time
     * @param random source of choices
     */
    abstract String text(Run run, SplittableRandom random);
}
